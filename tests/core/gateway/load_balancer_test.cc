#include "coltsfootfork/core/gateway/load_balancer.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kSeed = 7;
const ServiceId kService("model");

ServerRecord Record(const std::string& id, const std::string& zone = "z") {
  ServerRecord record;
  record.id = ServerId(id);
  record.incarnation = 1;
  record.sequence = 1;
  record.service = kService;
  record.address = "10.0.0.1:" + std::to_string(1000 + id.back());
  record.zone = ZoneId(zone);
  record.slots = 24;
  return record;
}

ServerDirectory Directory(int count) {
  ServerDirectory directory;
  for (int i = 0; i < count; ++i) {
    directory.Merge(Record("s" + std::string(1, static_cast<char>('a' + i))),
                    kNow);
  }
  return directory;
}

LoadBalancer Balancer(const ServerDirectory& directory) {
  LoadBalancerOptions options;
  options.zone = ZoneId("z");
  LoadBalancer balancer(options, kSeed);
  balancer.Follow(directory, kNow);
  return balancer;
}

EngineProfile Engine() {
  EngineProfile engine;
  engine.slots = 24;
  engine.memory_tokens = 34000;
  return engine;
}

ServerQuery Query(const EngineProfile& engine, std::uint64_t tokens) {
  ServerQuery query;
  query.service = kService;
  query.engine = &engine;
  query.tokens = tokens;
  return query;
}

BOOST_AUTO_TEST_CASE(AServerThatLeavesGetsNothing) {
  ServerDirectory directory = Directory(2);
  ServerRecord leaving = Record("sa");
  leaving.sequence = 2;
  leaving.state = ServerState::kDraining;
  directory.Merge(leaving, kNow);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  for (int i = 0; i < 20; ++i) {
    const auto choice = balancer.Pick(Query(engine, 100), kNow);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->id == ServerId("sb"));
  }
  BOOST_TEST(!balancer.IsServing(ServerId("sa"), /*incarnation=*/1));
}

// Eight entries that all see the same, half a second old, place 16 calls in
// that time on 14 engines of which one is new and empty. Were each to choose
// the emptiest, all prompts would be read there one after another.
BOOST_AUTO_TEST_CASE(EntriesWithOneViewDoNotCrowdTheEmptiestEngine) {
  const ServerDirectory directory = Directory(14);
  const EngineProfile engine = Engine();
  FleetLoad others;
  for (const auto& [id, entry] : directory.entries()) {
    if (id != ServerId("sa")) others[id] = {3, 10000, 0};
  }
  std::map<ServerId, int> chosen;
  for (std::uint64_t entry = 0; entry < 8; ++entry) {
    LoadBalancerOptions options;
    options.zone = ZoneId("z");
    LoadBalancer balancer(options, kSeed + entry);
    balancer.Follow(directory, kNow);
    balancer.SetOthers(others);
    for (int call = 0; call < 2; ++call) {
      const auto choice = balancer.Pick(Query(engine, 3500), kNow);
      balancer.Begin(choice->id, {1, 3500, 3000});
      ++chosen[choice->id];
    }
  }
  BOOST_TEST(chosen[ServerId("sa")] <= 8);
}

// A burst: 20 entries hold twelve waiting calls each when all hear, at the same
// moment, of room for 60 calls on 90 engines. What they place is heard two
// rounds of reports later.
BOOST_AUTO_TEST_CASE(WaitingCallsOfManyEntriesDoNotRushIntoTheSameRoom) {
  constexpr std::size_t kEntries = 20;
  constexpr int kRounds = 12;
  constexpr std::uint64_t kTokens = 3500;
  const ServerDirectory directory = Directory(90);
  const EngineProfile engine = Engine();
  FleetLoad before;
  int number = 0;
  for (const auto& [id, entry] : directory.entries()) {
    before[id] = {8, number++ % 3 == 0 ? 25000U : 32000U, 0};
  }
  std::vector<LoadBalancer> balancers;
  for (std::size_t i = 0; i < kEntries; ++i) {
    LoadBalancerOptions options;
    options.zone = ZoneId("z");
    balancers.emplace_back(options, kSeed + i);
    balancers.back().Follow(directory, kNow);
  }
  std::vector<int> waiting(kEntries, 12);
  // What each entry had placed two rounds ago, and one.
  std::vector<std::vector<FleetLoad>> told(2, std::vector<FleetLoad>(kEntries));
  int placed = 0;
  Time now = kNow;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      FleetLoad others = before;
      for (std::size_t j = 0; j < kEntries; ++j) {
        if (j != i) AddLoad(others, told.front()[j]);
      }
      balancers[i].SetOthers(others);
      while (waiting[i] > 0) {
        ServerQuery query = Query(engine, kTokens);
        query.headroom_share.share = 1.0 / kEntries;
        const auto choice = balancers[i].Pick(query, now);
        if (!choice->fits) break;
        balancers[i].Begin(choice->id, {1, kTokens, 3000});
        --waiting[i];
        ++placed;
      }
    }
    std::vector<FleetLoad> own;
    own.reserve(balancers.size());
    for (const LoadBalancer& balancer : balancers)
      own.push_back(balancer.OwnLoad());
    told = {told.back(), own};
    now += std::chrono::milliseconds(200);
  }
  BOOST_TEST(placed >= 48);
  BOOST_TEST(placed <= 75);
  FleetLoad all = before;
  for (const FleetLoad& own : told.back()) AddLoad(all, own);
  for (const auto& [server, load] : all) {
    BOOST_TEST(load.tokens <= 1.25 * 34000);
  }
}

BOOST_AUTO_TEST_CASE(RoomThatUrgentCallsWantElsewhereIsLeftToThem) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOthers(
      {{ServerId("sa"), {8, 28000, 0}}, {ServerId("sb"), {8, 28000, 0}}});
  ServerQuery query = Query(engine, 3500);
  BOOST_TEST(balancer.Pick(query, kNow)->fits);
  query.headroom_share.urgent_tokens = 20000;
  BOOST_TEST(!balancer.Pick(query, kNow)->fits);
}

BOOST_AUTO_TEST_CASE(WithoutWordFromOthersRoomIsSharedOutAgain) {
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  ServerQuery query = Query(engine, 3500);
  query.headroom_share.share = 0.25;
  int placed = 0;
  Time now = kNow;
  for (int round = 0; round < 40; ++round) {
    if (balancer.Pick(query, now)->fits) {
      balancer.Begin(ServerId("sa"), {1, 3500, 0});
      ++placed;
    }
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(placed >= 7);
}

BOOST_AUTO_TEST_CASE(ACallThatFitsNowhereIsSaidNotToFit) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOthers(
      {{ServerId("sa"), {8, 32000, 0}}, {ServerId("sb"), {8, 32000, 0}}});
  const auto choice = balancer.Pick(Query(engine, 3500), kNow);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(!choice->fits);
}

BOOST_AUTO_TEST_CASE(LessUrgentCallsLeaveMemoryForOthers) {
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOthers({{ServerId("sa"), {8, 27000, 0}}});
  ServerQuery query = Query(engine, 3500);
  query.fill = 0.8;
  BOOST_TEST(!balancer.Pick(query, kNow)->fits);
  query.fill = 1.0;
  BOOST_TEST(balancer.Pick(query, kNow)->fits);
}

BOOST_AUTO_TEST_CASE(PromptsThatAreNotReadYetWeighMoreThanMemory) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOthers(
      {{ServerId("sa"), {3, 9000, 0}}, {ServerId("sb"), {2, 6000, 6000}}});
  BOOST_TEST(balancer.Pick(Query(engine, 100), kNow)->id == ServerId("sa"));
}

BOOST_AUTO_TEST_CASE(AServerThatCannotBeReachedIsPassedOverForAWhile) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.OnUnreachable(ServerId("sa"), kNow);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(balancer.Pick(Query(engine, 100), kNow)->id == ServerId("sb"));
  }
  // With nobody else it is better than nobody.
  ServerQuery query = Query(engine, 100);
  query.excluded = {ServerId("sb")};
  BOOST_TEST(balancer.Pick(query, kNow)->id == ServerId("sa"));
}

BOOST_AUTO_TEST_CASE(AServerThatFailsItsCallsGetsFewer) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  for (int i = 0; i < 20; ++i) {
    balancer.OnAnswered(ServerId("sa"), /*failed=*/true);
    balancer.OnAnswered(ServerId("sb"), /*failed=*/false);
  }
  ServerQuery query;
  query.service = kService;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(balancer.Pick(query, kNow)->id == ServerId("sb"));
  }
}

// Bytes between zones have a price: with five zones of equal servers, a call
// stays in its own while there is room as good.
BOOST_AUTO_TEST_CASE(CallsStayInTheirZoneWhileItHasRoom) {
  constexpr int kZones = 5;
  constexpr int kServersOfZone = 6;
  constexpr int kCalls = 60;
  ServerDirectory directory;
  for (int i = 0; i < kZones * kServersOfZone; ++i) {
    ServerRecord record =
        Record("s" + std::to_string(i), i % kZones == 0 ? "z" : "far");
    record.address = "10.0.0.1:" + std::to_string(1000 + i);
    directory.Merge(record, kNow);
  }
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  const auto place = [&](int calls) {
    int home = 0;
    for (int i = 0; i < calls; ++i) {
      const auto choice = balancer.Pick(Query(engine, 300), kNow);
      balancer.Begin(choice->id, {1, 300, 0});
      if (balancer.Find(choice->id)->zone == ZoneId("z")) ++home;
    }
    return home;
  };
  // Up to a load that is a tenth of a full one above the others'.
  BOOST_TEST(place(kServersOfZone) == kServersOfZone);
  // The own zone is filled no further than the others by much.
  BOOST_TEST(place(kCalls) < kCalls / 2);
}

// Nine streams leave an engine together, each at an entry that does not know of
// the others.
BOOST_AUTO_TEST_CASE(StreamsThatMoveTogetherSpread) {
  const ServerDirectory directory = Directory(10);
  const LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  std::map<ServerId, int> chosen;
  for (int call = 0; call < 9; ++call) {
    const auto choice = balancer.PickMigrationTarget(
        Query(engine, 3500), ServerId("leaving"),
        RequestId("call-" + std::to_string(call)), kNow);
    BOOST_REQUIRE(choice.has_value());
    ++chosen[choice->id];
  }
  BOOST_TEST(chosen.size() >= 4U);
}

// Copies of two engines that leave at a time would queue on one link.
BOOST_AUTO_TEST_CASE(EnginesThatLeaveTogetherMoveToDifferentServers) {
  ServerDirectory directory = Directory(14);
  LoadBalancer balancer = Balancer(directory);
  for (const char* id : {"sa", "sb", "sc"}) {
    ServerRecord leaving = Record(id);
    leaving.sequence = 2;
    leaving.state = ServerState::kDraining;
    directory.Merge(leaving, kNow);
  }
  balancer.Follow(directory, kNow);
  const EngineProfile engine = Engine();
  std::map<ServerId, std::set<std::string>> sources;
  for (int call = 0; call < 27; ++call) {
    const std::string source = std::string("s") + "abc"[call % 3];
    const auto choice = balancer.PickMigrationTarget(
        Query(engine, 3500), ServerId(source),
        RequestId("call-" + std::to_string(call)), kNow);
    BOOST_REQUIRE(choice.has_value());
    sources[choice->id].insert(source);
  }
  int shared = 0;
  for (const auto& [server, from] : sources) {
    if (from.size() > 1) ++shared;
  }
  BOOST_TEST(shared <= 1);
  BOOST_TEST(sources.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(StreamsPreferRefugeInTheirOwnZoneWithRoom) {
  ServerDirectory directory;
  directory.Merge(Record("sa", "z"), kNow);
  directory.Merge(Record("sb", "far"), kNow);
  directory.Merge(Record("sc", "z"), kNow);
  directory.Merge(Record("leaving", "z"), kNow);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOthers({{ServerId("sc"), {9, 34000, 0}}});
  int home = 0;
  for (int call = 0; call < 100; ++call) {
    ServerQuery query = Query(engine, 3500);
    query.excluded = {ServerId("leaving")};
    const auto choice = balancer.PickMigrationTarget(
        query, ServerId("leaving"), RequestId("call-" + std::to_string(call)),
        kNow);
    if (choice->id == ServerId("sa")) ++home;
  }
  BOOST_TEST(home > 70);
}

BOOST_AUTO_TEST_CASE(LoadIsCountedWhileCallsLive) {
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const ServerId id("sa");
  balancer.Begin(id, {1, 3500, 3000});
  balancer.OnPrefillDone(id, 3000);
  FleetLoad load = balancer.OwnLoad();
  BOOST_TEST(load[id].calls == 1U);
  BOOST_TEST(load[id].tokens == 3500U);
  BOOST_TEST(load[id].pending_prefill_tokens == 0U);
  balancer.End(id, {1, 3500, 0});
  BOOST_TEST(balancer.OwnLoad().empty());
}

BOOST_AUTO_TEST_CASE(BaselinesTakeNoNoticeOfRoom) {
  const ServerDirectory directory = Directory(3);
  const EngineProfile engine = Engine();
  LoadBalancerOptions options;
  options.placement = RoundRobinPlacement{};
  LoadBalancer turns(options, kSeed);
  turns.Follow(directory, kNow);
  std::map<ServerId, int> chosen;
  for (int i = 0; i < 9; ++i) {
    const auto choice = turns.Pick(Query(engine, 90000), kNow);
    BOOST_TEST(choice->fits);
    ++chosen[choice->id];
  }
  for (const auto& [server, calls] : chosen) BOOST_TEST(calls == 3);
  options.placement = LeastRequestsPlacement{};
  LoadBalancer fewest(options, kSeed);
  fewest.Follow(directory, kNow);
  fewest.SetOthers(
      {{ServerId("sa"), {1, 90000, 0}}, {ServerId("sb"), {3, 0, 0}}});
  fewest.Begin(ServerId("sc"), {2, 100, 0});
  BOOST_TEST(fewest.Pick(Query(engine, 90000), kNow)->id == ServerId("sa"));
}

}  // namespace
}  // namespace coltsfootfork

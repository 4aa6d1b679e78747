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
  balancer.ApplyDirectory(directory, kNow);
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

BOOST_AUTO_TEST_CASE(DrainingServerGetsNoCalls) {
  ServerDirectory directory = Directory(2);
  ServerRecord draining = Record("sa");
  draining.sequence = 2;
  draining.state = ServerState::kDraining;
  directory.Merge(draining, kNow);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  for (int i = 0; i < 20; ++i) {
    const auto choice = balancer.Pick(Query(engine, 100), kNow);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->id == ServerId("sb"));
  }
  BOOST_TEST(!balancer.IsServing(ServerId("sa"), /*incarnation=*/1));
}

// Eight entries with the same view, half a second old, dispatch 16 calls in
// that time to 14 engines, one of which is new and empty. If each chose the
// emptiest, all prefills would run there one after another.
BOOST_AUTO_TEST_CASE(EntriesWithTheSameViewDoNotOverloadTheEmptiestEngine) {
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
    balancer.ApplyDirectory(directory, kNow);
    balancer.SetOtherEntriesLoad(others);
    for (int call = 0; call < 2; ++call) {
      const auto choice = balancer.Pick(Query(engine, 3500), kNow);
      balancer.ReserveLoad(choice->id, {1, 3500, 3000});
      ++chosen[choice->id];
    }
  }
  BOOST_TEST(chosen[ServerId("sa")] <= 8);
}

// A burst: 20 entries have twelve queued calls each when all learn, at the same
// time, of headroom for 60 calls on 90 engines. Dispatches are reported two
// rounds later.
BOOST_AUTO_TEST_CASE(QueuedCallsOfManyEntriesDoNotOvercommitHeadroom) {
  constexpr std::size_t kEntries = 20;
  constexpr int kRounds = 12;
  constexpr std::uint64_t kTokens = 3500;
  const ServerDirectory directory = Directory(90);
  const EngineProfile engine = Engine();
  FleetLoad initial_load;
  int number = 0;
  for (const auto& [id, entry] : directory.entries()) {
    initial_load[id] = {8, number++ % 3 == 0 ? 25000U : 32000U, 0};
  }
  std::vector<LoadBalancer> balancers;
  for (std::size_t i = 0; i < kEntries; ++i) {
    LoadBalancerOptions options;
    options.zone = ZoneId("z");
    balancers.emplace_back(options, kSeed + i);
    balancers.back().ApplyDirectory(directory, kNow);
  }
  std::vector<int> queued_calls(kEntries, 12);
  // Own load of each entry two rounds ago and one round ago.
  std::vector<std::vector<FleetLoad>> reported(
      2, std::vector<FleetLoad>(kEntries));
  int placed = 0;
  Time now = kNow;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      FleetLoad others = initial_load;
      for (std::size_t j = 0; j < kEntries; ++j) {
        if (j != i) AddLoad(others, reported.front()[j]);
      }
      balancers[i].SetOtherEntriesLoad(others);
      while (queued_calls[i] > 0) {
        ServerQuery query = Query(engine, kTokens);
        query.headroom_share.share = 1.0 / kEntries;
        const auto choice = balancers[i].Pick(query, now);
        if (!choice->fits) break;
        balancers[i].ReserveLoad(choice->id, {1, kTokens, 3000});
        --queued_calls[i];
        ++placed;
      }
    }
    std::vector<FleetLoad> own;
    own.reserve(balancers.size());
    for (const LoadBalancer& balancer : balancers) {
      own.push_back(balancer.OwnLoad());
    }
    reported = {reported.back(), own};
    now += std::chrono::milliseconds(200);
  }
  BOOST_TEST(placed >= 48);
  BOOST_TEST(placed <= 75);
  FleetLoad all = initial_load;
  for (const FleetLoad& own : reported.back()) AddLoad(all, own);
  for (const auto& [server, load] : all) {
    BOOST_TEST(load.tokens <= 1.25 * 34000);
  }
}

BOOST_AUTO_TEST_CASE(HeadroomIsLeftToUrgentCallsOfOtherEntries) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOtherEntriesLoad(
      {{ServerId("sa"), {8, 28000, 0}}, {ServerId("sb"), {8, 28000, 0}}});
  ServerQuery query = Query(engine, 3500);
  BOOST_TEST(balancer.Pick(query, kNow)->fits);
  query.headroom_share.urgent_tokens = 20000;
  BOOST_TEST(!balancer.Pick(query, kNow)->fits);
}

BOOST_AUTO_TEST_CASE(HeadroomIsReallocatedWithoutReports) {
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  ServerQuery query = Query(engine, 3500);
  query.headroom_share.share = 0.25;
  int placed = 0;
  Time now = kNow;
  for (int round = 0; round < 40; ++round) {
    if (balancer.Pick(query, now)->fits) {
      balancer.ReserveLoad(ServerId("sa"), {1, 3500, 0});
      ++placed;
    }
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(placed >= 7);
}

BOOST_AUTO_TEST_CASE(CallThatFitsNowhereIsReportedAsNotFitting) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOtherEntriesLoad(
      {{ServerId("sa"), {8, 32000, 0}}, {ServerId("sb"), {8, 32000, 0}}});
  const auto choice = balancer.Pick(Query(engine, 3500), kNow);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(!choice->fits);
}

BOOST_AUTO_TEST_CASE(LessUrgentCallsLeaveMemoryForUrgentOnes) {
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOtherEntriesLoad({{ServerId("sa"), {8, 27000, 0}}});
  ServerQuery query = Query(engine, 3500);
  query.max_fill = 0.8;
  BOOST_TEST(!balancer.Pick(query, kNow)->fits);
  query.max_fill = 1.0;
  BOOST_TEST(balancer.Pick(query, kNow)->fits);
}

BOOST_AUTO_TEST_CASE(PendingPrefillWeighsMoreThanMemory) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOtherEntriesLoad(
      {{ServerId("sa"), {3, 9000, 0}}, {ServerId("sb"), {2, 6000, 6000}}});
  BOOST_TEST(balancer.Pick(Query(engine, 100), kNow)->id == ServerId("sa"));
}

BOOST_AUTO_TEST_CASE(UnreachableServerIsEjected) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.OnUnreachable(ServerId("sa"), kNow);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(balancer.Pick(Query(engine, 100), kNow)->id == ServerId("sb"));
  }
  // An ejected server is used if there is no other.
  ServerQuery query = Query(engine, 100);
  query.excluded = {ServerId("sb")};
  BOOST_TEST(balancer.Pick(query, kNow)->id == ServerId("sa"));
}

BOOST_AUTO_TEST_CASE(FailingServerIsNotPreferred) {
  const ServerDirectory directory = Directory(2);
  LoadBalancer balancer = Balancer(directory);
  for (int i = 0; i < 20; ++i) {
    balancer.OnResponse(ServerId("sa"), /*failed=*/true);
    balancer.OnResponse(ServerId("sb"), /*failed=*/false);
  }
  ServerQuery query;
  query.service = kService;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(balancer.Pick(query, kNow)->id == ServerId("sb"));
  }
}

// Traffic between zones has a cost: with five zones of equal servers, a call
// stays in its own zone until that is loaded noticeably more than the others.
BOOST_AUTO_TEST_CASE(CallsStayInTheirZoneWhileItHasCapacity) {
  constexpr int kZones = 5;
  constexpr int kServersPerZone = 6;
  constexpr int kCalls = 60;
  ServerDirectory directory;
  for (int i = 0; i < kZones * kServersPerZone; ++i) {
    ServerRecord record =
        Record("s" + std::to_string(i), i % kZones == 0 ? "z" : "far");
    record.address = "10.0.0.1:" + std::to_string(1000 + i);
    directory.Merge(record, kNow);
  }
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  const auto place = [&](int calls) {
    int same_zone = 0;
    for (int i = 0; i < calls; ++i) {
      const auto choice = balancer.Pick(Query(engine, 300), kNow);
      balancer.ReserveLoad(choice->id, {1, 300, 0});
      if (balancer.Find(choice->id)->zone == ZoneId("z")) ++same_zone;
    }
    return same_zone;
  };
  // Up to a load that exceeds the others' by a tenth of a full server.
  BOOST_TEST(place(kServersPerZone) == kServersPerZone);
  // This entry's zone is not filled much further than the others.
  BOOST_TEST(place(kCalls) < kCalls / 2);
}

// Nine streams migrate from an engine together, each at an entry that does not
// know of the others.
BOOST_AUTO_TEST_CASE(MigrationsOfOneEngineSpread) {
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

// KV transfers of two engines that drain at the same time would queue on one
// link.
BOOST_AUTO_TEST_CASE(EnginesThatDrainTogetherMigrateToDifferentServers) {
  ServerDirectory directory = Directory(14);
  LoadBalancer balancer = Balancer(directory);
  for (const char* id : {"sa", "sb", "sc"}) {
    ServerRecord draining = Record(id);
    draining.sequence = 2;
    draining.state = ServerState::kDraining;
    directory.Merge(draining, kNow);
  }
  balancer.ApplyDirectory(directory, kNow);
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

BOOST_AUTO_TEST_CASE(MigrationPrefersFreeMemoryInTheSameZone) {
  ServerDirectory directory;
  directory.Merge(Record("sa", "z"), kNow);
  directory.Merge(Record("sb", "far"), kNow);
  directory.Merge(Record("sc", "z"), kNow);
  directory.Merge(Record("leaving", "z"), kNow);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  balancer.SetOtherEntriesLoad({{ServerId("sc"), {9, 34000, 0}}});
  int same_zone = 0;
  for (int call = 0; call < 100; ++call) {
    ServerQuery query = Query(engine, 3500);
    query.excluded = {ServerId("leaving")};
    const auto choice = balancer.PickMigrationTarget(
        query, ServerId("leaving"), RequestId("call-" + std::to_string(call)),
        kNow);
    if (choice->id == ServerId("sa")) ++same_zone;
  }
  BOOST_TEST(same_zone > 70);
}

BOOST_AUTO_TEST_CASE(LoadIsCountedUntilReleased) {
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const ServerId id("sa");
  balancer.ReserveLoad(id, {1, 3500, 3000});
  balancer.OnPrefillDone(id, 3000);
  FleetLoad load = balancer.OwnLoad();
  BOOST_TEST(load[id].calls == 1U);
  BOOST_TEST(load[id].tokens == 3500U);
  BOOST_TEST(load[id].pending_prefill_tokens == 0U);
  balancer.ReleaseLoad(id, {1, 3500, 0});
  BOOST_TEST(balancer.OwnLoad().empty());
}

BOOST_AUTO_TEST_CASE(ServerAtItsRateLimitReceivesNoCalls) {
  ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  const ServerId id("sa");
  balancer.SetEntryCount(4, kNow);
  BOOST_TEST(balancer.OnRateLimit(id, 1, 2.0, kNow, kNow));
  balancer.OnSend(id, kNow);
  BOOST_TEST(!balancer.Pick(Query(engine, 100), kNow).has_value());
  const auto end = balancer.EarliestBackoffEnd(Query(engine, 100), kNow);
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(balancer.Pick(Query(engine, 100), *end).has_value());
  // A restarted server has named no limit, and one of the old incarnation does
  // not apply to it.
  ServerRecord restarted = Record("sa");
  restarted.incarnation = 2;
  directory.Merge(restarted, kNow);
  balancer.ApplyDirectory(directory, kNow);
  BOOST_TEST(!balancer.OnRateLimit(id, 1, 2.0, kNow, kNow));
  BOOST_TEST(balancer.Pick(Query(engine, 100), kNow).has_value());
}

BOOST_AUTO_TEST_CASE(LostViewOfEntriesDoesNotRaiseTheShareOfARateLimit) {
  constexpr std::chrono::seconds kShortOutage{10};
  const ServerDirectory directory = Directory(1);
  LoadBalancer balancer = Balancer(directory);
  const EngineProfile engine = Engine();
  const ServerId id("sa");
  balancer.SetEntryCount(100, kNow);
  balancer.SetEntryCount(1, kNow + kShortOutage);
  const Time later = kNow + kShortOutage;
  balancer.OnRateLimit(id, 1, 10.0, later, later);
  balancer.OnSend(id, later);
  // One entry alone would send ten requests a second.
  BOOST_TEST(!balancer.Pick(Query(engine, 100), later + std::chrono::seconds(5))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(BaselinesIgnoreCapacity) {
  const ServerDirectory directory = Directory(3);
  const EngineProfile engine = Engine();
  LoadBalancerOptions options;
  options.placement = RoundRobinPlacement{};
  LoadBalancer round_robin(options, kSeed);
  round_robin.ApplyDirectory(directory, kNow);
  std::map<ServerId, int> chosen;
  for (int i = 0; i < 9; ++i) {
    const auto choice = round_robin.Pick(Query(engine, 90000), kNow);
    BOOST_TEST(choice->fits);
    ++chosen[choice->id];
  }
  for (const auto& [server, calls] : chosen) BOOST_TEST(calls == 3);
  options.placement = LeastRequestsPlacement{};
  LoadBalancer least_requests(options, kSeed);
  least_requests.ApplyDirectory(directory, kNow);
  least_requests.SetOtherEntriesLoad(
      {{ServerId("sa"), {1, 90000, 0}}, {ServerId("sb"), {3, 0, 0}}});
  least_requests.ReserveLoad(ServerId("sc"), {2, 100, 0});
  BOOST_TEST(least_requests.Pick(Query(engine, 90000), kNow)->id ==
             ServerId("sa"));
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/placement/order_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <set>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
constexpr Time kReady = kStart + seconds(3);
const ServiceId kA("model-a");
const ServiceId kB("model-b");
const ServiceId kLedger("ledger");

InventoryServer Listed(const char* id, std::vector<ServiceId> services) {
  return {ServerId(id), ZoneId("zone"), std::move(services)};
}

PlacedServer Placed(const char* id, std::vector<ServiceId> services) {
  return {ServerId(id), ProcessId(std::string("agent-") + id),
          std::move(services), true};
}

ServingRules RulesOf(std::vector<InventoryServer> servers) {
  auto configuration = std::make_shared<Configuration>();
  configuration->services = {{kA, RequestKind::kGeneration},
                             {kB, RequestKind::kGeneration},
                             {kLedger, RequestKind::kPlainCall}};
  configuration->servers = std::move(servers);
  return ServingRules(configuration);
}

OrderPlanner LeadingPlanner(PlannerLimits limits = {}) {
  OrderPlanner planner(limits);
  planner.StartTerm(4, kStart);
  return planner;
}

BOOST_AUTO_TEST_CASE(ANewLeaderWaitsOutTheFormerOne) {
  OrderPlanner planner = LeadingPlanner();
  const ServingRules rules = RulesOf({Listed("1", {kA})});
  const std::vector<PlacedServer> servers = {Placed("1", {})};
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady - seconds(1)).empty());
  const auto orders = planner.Tick(rules, servers, {}, kReady);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].agent == ProcessId("agent-1"));
  BOOST_TEST(orders[0].order.action == "load");
  BOOST_TEST(orders[0].order.subject == "model-a");
  BOOST_TEST((planner.floor() < orders[0].order.fence));
  BOOST_TEST(orders[0].order.fence.term == 4U);
}

BOOST_AUTO_TEST_CASE(LoadsAreStaggeredAndBounded) {
  OrderPlanner planner = LeadingPlanner();
  const ServingRules rules = RulesOf(
      {Listed("1", {kA}), Listed("2", {kA}), Listed("3", {kA, kLedger})});
  std::vector<PlacedServer> servers = {Placed("1", {}), Placed("2", {}),
                                       Placed("3", {})};
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady).size() == 1U);
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kReady + milliseconds(999)).empty());
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady + seconds(1)).size() ==
             1U);
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady + seconds(9)).empty());
  servers[0].services = {kA};
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady + seconds(9)).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(AModelThatNobodyServesComesBeforeDemand) {
  const ServingRules rules =
      RulesOf({Listed("1", {kA}), Listed("2", {kA, kB})});
  const ServiceDemand demand = {{kA, 1000000}};
  std::vector<PlacedServer> servers = {Placed("1", {kA}), Placed("2", {})};
  auto orders = LeadingPlanner().Tick(rules, servers, demand, kReady);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.subject == "model-b");
  servers.push_back(Placed("3", {kB}));
  orders = LeadingPlanner().Tick(rules, servers, demand, kReady);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.subject == "model-a");
}

BOOST_AUTO_TEST_CASE(TheLastServingEngineKeepsItsModel) {
  OrderPlanner planner = LeadingPlanner();
  const ServingRules rules = RulesOf({Listed("1", {kB}), Listed("2", {kA})});
  std::vector<PlacedServer> servers = {Placed("1", {kA, kB}), Placed("2", {})};
  auto orders = planner.Tick(rules, servers, {}, kReady);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.action == "load");
  servers[1].services = {kA};
  // A draining engine does not count as serving.
  servers[1].serving = false;
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady + seconds(5)).empty());
  servers[1].serving = true;
  orders = planner.Tick(rules, servers, {}, kReady + seconds(6));
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.action == "unload");
  BOOST_TEST(orders[0].server == ServerId("1"));
}

BOOST_AUTO_TEST_CASE(AnOrderIsRepeatedUnderANewFence) {
  OrderPlanner planner = LeadingPlanner();
  const ServingRules rules = RulesOf({Listed("1", {kA})});
  const std::vector<PlacedServer> servers = {Placed("1", {})};
  const auto first = planner.Tick(rules, servers, {}, kReady);
  BOOST_TEST(planner.Tick(rules, servers, {}, kReady + seconds(119)).empty());
  const auto second = planner.Tick(rules, servers, {}, kReady + seconds(120));
  BOOST_TEST_REQUIRE(second.size() == 1U);
  BOOST_TEST((first[0].order.fence < second[0].order.fence));
  const Time failed = kReady + seconds(130);
  // The late answer to the first order does not end the second one.
  planner.OnResult(ServerId("1"), {first[0].order.fence, false, ""}, failed);
  BOOST_TEST(planner.Tick(rules, servers, {}, failed + seconds(10)).empty());
  planner.OnResult(ServerId("1"), {second[0].order.fence, false, ""}, failed);
  BOOST_TEST(planner.Tick(rules, servers, {}, failed + seconds(9)).empty());
  BOOST_TEST(planner.Tick(rules, servers, {}, failed + seconds(10)).size() ==
             1U);
}

// Engines that load slowly, fail, lose orders and leave, under leaders that
// change: the fleet comes to hold what the inventory lists.
class PlacementRun {
 public:
  explicit PlacementRun(unsigned seed)
      : random_(seed),
        rules_(RulesOf({Listed("1", {kA}), Listed("2", {kA, kB}),
                        Listed("3", {kB}), Listed("4", {kA, kB})})) {
    servers_ = {Placed("1", {kA, kB}), Placed("2", {}), Placed("3", {kA}),
                Placed("4", {})};
    planner_.StartTerm(term_, now_);
  }

  void Step(bool with_faults) {
    now_ += milliseconds(500);
    if (with_faults && random_() % 60 == 0) planner_.StartTerm(++term_, now_);
    if (with_faults && random_() % 10 == 0) {
      PlacedServer& server = servers_[random_() % servers_.size()];
      server.serving = !server.serving;
    }
    for (const auto& planned : planner_.Tick(rules_, servers_, {}, now_)) {
      CheckOrder(planned);
      if (with_faults && random_() % 4 == 0) continue;
      under_way_.push_back(planned);
    }
    Carry(with_faults);
  }

  void Heal() {
    for (PlacedServer& server : servers_) server.serving = true;
    for (int i = 0; i < 2000; ++i) Step(false);
    for (const PlacedServer& server : servers_) {
      auto expected = rules_.FindServer(server.server)->services;
      auto loaded = server.services;
      std::sort(loaded.begin(), loaded.end());
      BOOST_TEST((loaded == expected));
    }
  }

 private:
  std::size_t Serving(const ServiceId& service, const ServerId& without) {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [&](const auto& s) {
          return s.serving && s.server != without &&
                 std::count(s.services.begin(), s.services.end(), service) > 0;
        }));
  }

  void CheckOrder(const PlannedOrder& planned) {
    BOOST_TEST_REQUIRE((last_fence_ < planned.order.fence));
    last_fence_ = planned.order.fence;
    const ServiceId service(planned.order.subject);
    const auto server =
        std::find_if(servers_.begin(), servers_.end(),
                     [&](const auto& s) { return s.server == planned.server; });
    if (planned.order.action == "unload" && server->serving) {
      BOOST_TEST_REQUIRE(Serving(service, planned.server) > 0U);
    }
  }

  void Carry(bool with_faults) {
    std::vector<PlannedOrder> later;
    for (const PlannedOrder& planned : under_way_) {
      if (random_() % 3 != 0) {
        later.push_back(planned);
      } else if (with_faults && random_() % 3 == 0) {
        planner_.OnResult(planned.server, {planned.order.fence, false, "full"},
                          now_);
      } else {
        Carry(planned);
      }
    }
    under_way_ = std::move(later);
  }

  void Carry(const PlannedOrder& planned) {
    for (PlacedServer& server : servers_) {
      if (server.server != planned.server) continue;
      const ServiceId service(planned.order.subject);
      auto& loaded = server.services;
      loaded.erase(std::remove(loaded.begin(), loaded.end(), service),
                   loaded.end());
      if (planned.order.action == "load") loaded.push_back(service);
    }
  }

  std::mt19937 random_;
  ServingRules rules_;
  std::vector<PlacedServer> servers_;
  std::vector<PlannedOrder> under_way_;
  OrderPlanner planner_;
  std::uint64_t term_ = 1;
  FencingToken last_fence_;
  Time now_ = kStart;
};

BOOST_AUTO_TEST_CASE(TheFleetComesToHoldWhatTheInventoryLists) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PlacementRun run(seed);
      for (int step = 0; step < 300; ++step) run.Step(true);
      run.Heal();
    }
  }
}

}  // namespace
}  // namespace coltsfootfork

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
constexpr Time kLeaseExpired = kStart + seconds(3);
const ServiceId kA("model-a");
const ServiceId kB("model-b");
const ServiceId kLedger("ledger");

InventoryServer InventoryOf(const char* id, std::vector<ServiceId> services) {
  return {ServerId(id), ZoneId("zone"), std::move(services)};
}

PlacedServer ReportOf(const char* id, std::vector<ServiceId> services) {
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

OrderPlanner PlannerOfNewLeader(PlannerLimits limits = {}) {
  OrderPlanner planner(limits);
  planner.StartTerm(4, kStart);
  return planner;
}

BOOST_AUTO_TEST_CASE(NewLeaderIssuesNoOrdersDuringFormerLease) {
  OrderPlanner planner = PlannerOfNewLeader();
  const ServingRules rules = RulesOf({InventoryOf("1", {kA})});
  const std::vector<PlacedServer> servers = {ReportOf("1", {})};
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kLeaseExpired - seconds(1)).empty());
  const auto orders = planner.Tick(rules, servers, {}, kLeaseExpired);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].agent == ProcessId("agent-1"));
  BOOST_TEST(orders[0].order.action == "load");
  BOOST_TEST(orders[0].order.subject == "model-a");
  BOOST_TEST((planner.fence_floor() < orders[0].order.fence));
  BOOST_TEST(orders[0].order.fence.term == 4U);
}

BOOST_AUTO_TEST_CASE(LoadStartsAreSpacedAndConcurrencyIsLimited) {
  OrderPlanner planner = PlannerOfNewLeader();
  const ServingRules rules =
      RulesOf({InventoryOf("1", {kA}), InventoryOf("2", {kA}),
               InventoryOf("3", {kA, kLedger})});
  std::vector<PlacedServer> servers = {ReportOf("1", {}), ReportOf("2", {}),
                                       ReportOf("3", {})};
  BOOST_TEST(planner.Tick(rules, servers, {}, kLeaseExpired).size() == 1U);
  BOOST_TEST(planner.Tick(rules, servers, {}, kLeaseExpired + milliseconds(999))
                 .empty());
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kLeaseExpired + seconds(1)).size() ==
      1U);
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kLeaseExpired + seconds(9)).empty());
  servers[0].services = {kA};
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kLeaseExpired + seconds(9)).size() ==
      1U);
}

BOOST_AUTO_TEST_CASE(UnservedModelTakesPrecedenceOverDemand) {
  const ServingRules rules =
      RulesOf({InventoryOf("1", {kA}), InventoryOf("2", {kA, kB})});
  const ServiceDemand demand = {{kA, 1000000}};
  std::vector<PlacedServer> servers = {ReportOf("1", {kA}), ReportOf("2", {})};
  auto orders =
      PlannerOfNewLeader().Tick(rules, servers, demand, kLeaseExpired);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.subject == "model-b");
  servers.push_back(ReportOf("3", {kB}));
  orders = PlannerOfNewLeader().Tick(rules, servers, demand, kLeaseExpired);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.subject == "model-a");
}

BOOST_AUTO_TEST_CASE(LastServingEngineDoesNotUnload) {
  OrderPlanner planner = PlannerOfNewLeader();
  const ServingRules rules =
      RulesOf({InventoryOf("1", {kB}), InventoryOf("2", {kA})});
  std::vector<PlacedServer> servers = {ReportOf("1", {kA, kB}),
                                       ReportOf("2", {})};
  auto orders = planner.Tick(rules, servers, {}, kLeaseExpired);
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.action == "load");
  servers[1].services = {kA};
  // A draining engine does not count as serving.
  servers[1].serving = false;
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kLeaseExpired + seconds(5)).empty());
  servers[1].serving = true;
  orders = planner.Tick(rules, servers, {}, kLeaseExpired + seconds(6));
  BOOST_TEST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].order.action == "unload");
  BOOST_TEST(orders[0].server == ServerId("1"));
}

BOOST_AUTO_TEST_CASE(OrderIsReissuedWithNewFencingToken) {
  OrderPlanner planner = PlannerOfNewLeader();
  const ServingRules rules = RulesOf({InventoryOf("1", {kA})});
  const std::vector<PlacedServer> servers = {ReportOf("1", {})};
  const auto first = planner.Tick(rules, servers, {}, kLeaseExpired);
  BOOST_TEST(
      planner.Tick(rules, servers, {}, kLeaseExpired + seconds(119)).empty());
  const auto second =
      planner.Tick(rules, servers, {}, kLeaseExpired + seconds(120));
  BOOST_TEST_REQUIRE(second.size() == 1U);
  BOOST_TEST((first[0].order.fence < second[0].order.fence));
  const Time failed_at = kLeaseExpired + seconds(130);
  // The late reply to the first order does not affect the second one.
  planner.OnResult(ServerId("1"), {first[0].order.fence, false, ""}, failed_at);
  BOOST_TEST(planner.Tick(rules, servers, {}, failed_at + seconds(10)).empty());
  planner.OnResult(ServerId("1"), {second[0].order.fence, false, ""},
                   failed_at);
  BOOST_TEST(planner.Tick(rules, servers, {}, failed_at + seconds(9)).empty());
  BOOST_TEST(planner.Tick(rules, servers, {}, failed_at + seconds(10)).size() ==
             1U);
}

// Simulates slow loads, failed and lost orders, draining servers and leader
// changes. Once the faults end, the loaded models must match the inventory.
class PlacementSimulation {
 public:
  explicit PlacementSimulation(unsigned seed)
      : random_(seed),
        rules_(RulesOf({InventoryOf("1", {kA}), InventoryOf("2", {kA, kB}),
                        InventoryOf("3", {kB}), InventoryOf("4", {kA, kB})})) {
    servers_ = {ReportOf("1", {kA, kB}), ReportOf("2", {}), ReportOf("3", {kA}),
                ReportOf("4", {})};
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
      in_flight_.push_back(planned);
    }
    DeliverOrders(with_faults);
  }

  void ExpectConvergence() {
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
  std::size_t ServingCount(const ServiceId& service, const ServerId& excluded) {
    return static_cast<std::size_t>(std::count_if(
        servers_.begin(), servers_.end(), [&](const auto& server) {
          return server.serving && server.server != excluded &&
                 std::count(server.services.begin(), server.services.end(),
                            service) > 0;
        }));
  }

  void CheckOrder(const PlannedOrder& planned) {
    BOOST_TEST_REQUIRE((last_fence_ < planned.order.fence));
    last_fence_ = planned.order.fence;
    const ServiceId service(planned.order.subject);
    const auto server = std::find_if(
        servers_.begin(), servers_.end(),
        [&](const auto& placed) { return placed.server == planned.server; });
    if (planned.order.action == "unload" && server->serving) {
      BOOST_TEST_REQUIRE(ServingCount(service, planned.server) > 0U);
    }
  }

  void DeliverOrders(bool with_faults) {
    std::vector<PlannedOrder> still_in_flight;
    for (const PlannedOrder& planned : in_flight_) {
      if (random_() % 3 != 0) {
        still_in_flight.push_back(planned);
      } else if (with_faults && random_() % 3 == 0) {
        planner_.OnResult(planned.server, {planned.order.fence, false, "full"},
                          now_);
      } else {
        ApplyOrder(planned);
      }
    }
    in_flight_ = std::move(still_in_flight);
  }

  void ApplyOrder(const PlannedOrder& planned) {
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
  std::vector<PlannedOrder> in_flight_;
  OrderPlanner planner_;
  std::uint64_t term_ = 1;
  FencingToken last_fence_;
  Time now_ = kStart;
};

BOOST_AUTO_TEST_CASE(LoadedModelsConvergeToInventory) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PlacementSimulation run(seed);
      for (int step = 0; step < 300; ++step) run.Step(true);
      run.ExpectConvergence();
    }
  }
}

}  // namespace
}  // namespace coltsfootfork

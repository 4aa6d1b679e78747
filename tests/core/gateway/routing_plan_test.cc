#include "coltsfootfork/core/gateway/routing_plan.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

RoutingPlan ValidPlan() {
  RoutingPlan plan;
  plan.version = 1;
  PlanService service;
  service.name = ServiceId("s");
  plan.services = {service};
  PlanRoute route;
  route.host = "a.example";
  route.path_prefix = "/x/";
  route.timeout = std::chrono::seconds(1);
  route.services = {{ServiceId("s"), 1}};
  plan.routes = {route};
  return plan;
}

std::string FirstFindingPlace(const RoutingPlan& plan) {
  const Findings findings = CheckRoutingPlan(plan);
  return findings.empty() ? "none" : findings.list().front().place;
}

BOOST_AUTO_TEST_CASE(ValidPlanHasNoFindings) {
  BOOST_TEST(FirstFindingPlace(ValidPlan()) == "none");
}

BOOST_AUTO_TEST_CASE(EachErrorIsReportedAtItsPlace) {
  RoutingPlan unknown_service = ValidPlan();
  unknown_service.routes[0].services = {{ServiceId("missing"), 1}};
  BOOST_TEST(FirstFindingPlace(unknown_service) == "/routes/0");

  RoutingPlan duplicate_route = ValidPlan();
  duplicate_route.routes.push_back(duplicate_route.routes[0]);
  BOOST_TEST(FirstFindingPlace(duplicate_route) == "/routes/1");

  RoutingPlan zero_weight = ValidPlan();
  zero_weight.routes[0].services[0].weight = 0;
  BOOST_TEST(FirstFindingPlace(zero_weight) == "/routes/0");

  RoutingPlan zero_timeout = ValidPlan();
  zero_timeout.routes[0].timeout = std::chrono::milliseconds(0);
  BOOST_TEST(FirstFindingPlace(zero_timeout) == "/routes/0");

  RoutingPlan shared_key = ValidPlan();
  PlanWorkspace first;
  first.name = WorkspaceId("one");
  first.keys = {"key"};
  PlanWorkspace second = first;
  second.name = WorkspaceId("two");
  shared_key.workspaces = {first, second};
  BOOST_TEST(FirstFindingPlace(shared_key) == "/workspaces/1");
}

BOOST_AUTO_TEST_CASE(KeyRepeatedInOneWorkspaceIsValid) {
  RoutingPlan plan = ValidPlan();
  PlanWorkspace first;
  first.name = WorkspaceId("one");
  first.keys = {"key", "key"};
  plan.workspaces = {first};
  BOOST_TEST(FirstFindingPlace(plan) == "none");
}

}  // namespace
}  // namespace coltsfootfork

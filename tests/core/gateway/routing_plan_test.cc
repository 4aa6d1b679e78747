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

std::string PlaceOfFirst(const RoutingPlan& plan) {
  const Findings findings = CheckRoutingPlan(plan);
  return findings.empty() ? "none" : findings.list().front().place;
}

BOOST_AUTO_TEST_CASE(AProperPlanHasNoFindings) {
  BOOST_TEST(PlaceOfFirst(ValidPlan()) == "none");
}

BOOST_AUTO_TEST_CASE(EachFaultIsFoundAtItsPlace) {
  RoutingPlan unknown = ValidPlan();
  unknown.routes[0].services = {{ServiceId("missing"), 1}};
  BOOST_TEST(PlaceOfFirst(unknown) == "/routes/0");

  RoutingPlan twice = ValidPlan();
  twice.routes.push_back(twice.routes[0]);
  BOOST_TEST(PlaceOfFirst(twice) == "/routes/1");

  RoutingPlan weightless = ValidPlan();
  weightless.routes[0].services[0].weight = 0;
  BOOST_TEST(PlaceOfFirst(weightless) == "/routes/0");

  RoutingPlan timeless = ValidPlan();
  timeless.routes[0].timeout = std::chrono::milliseconds(0);
  BOOST_TEST(PlaceOfFirst(timeless) == "/routes/0");

  RoutingPlan shared = ValidPlan();
  PlanWorkspace one;
  one.name = WorkspaceId("one");
  one.keys = {"key"};
  PlanWorkspace two = one;
  two.name = WorkspaceId("two");
  shared.workspaces = {one, two};
  BOOST_TEST(PlaceOfFirst(shared) == "/workspaces/1");
}

BOOST_AUTO_TEST_CASE(AKeyThatAWorkspaceNamesTwiceIsItsOwn) {
  RoutingPlan plan = ValidPlan();
  PlanWorkspace one;
  one.name = WorkspaceId("one");
  one.keys = {"key", "key"};
  plan.workspaces = {one};
  BOOST_TEST(PlaceOfFirst(plan) == "none");
}

}  // namespace
}  // namespace coltsfootfork

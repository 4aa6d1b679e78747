#include "coltsfootfork/core/gateway/plan_index.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace coltsfootfork {
namespace {

PlanRoute Route(const std::string& host, const std::string& prefix,
                std::uint32_t rank = 0) {
  PlanRoute route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.rank = rank;
  return route;
}

PlanWorkspace Workspace(const std::string& name, const std::string& key,
                        std::uint32_t rank) {
  PlanWorkspace workspace;
  workspace.name = WorkspaceId(name);
  workspace.keys = {key};
  workspace.rank = rank;
  return workspace;
}

PlanIndex Index() {
  auto plan = std::make_shared<RoutingPlan>();
  plan->version = 3;
  plan->routes = {Route("a.example", "/x/", 0), Route("a.example", "/x/y/", 2),
                  Route("b.example", "/", 2)};
  plan->workspaces = {Workspace("one", "k1", 1), Workspace("two", "k2", 4)};
  return PlanIndex(plan);
}

std::string NameOf(const PlanRoute* route) {
  return route == nullptr ? "none" : route->name;
}

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  const PlanIndex index = Index();
  BOOST_TEST(NameOf(index.FindRoute("a.example", "/x/y/z?q=/no/")) ==
             "a.example/x/y/");
  BOOST_TEST(NameOf(index.FindRoute("a.example", "/x/other")) ==
             "a.example/x/");
  BOOST_TEST(NameOf(index.FindRoute("A.Example:8080", "/x/")) ==
             "a.example/x/");
  BOOST_TEST(NameOf(index.FindRoute("b.example", "/anything")) == "b.example/");
}

BOOST_AUTO_TEST_CASE(PrefixDoesNotMatchAPartOfASegment) {
  const PlanIndex index = Index();
  BOOST_TEST(NameOf(index.FindRoute("a.example", "/xy")) == "none");
  BOOST_TEST(NameOf(index.FindRoute("a.example", "/x")) == "none");
  BOOST_TEST(NameOf(index.FindRoute("c.example", "/x/")) == "none");
}

// Every workspace has a rank. If it replaced the route's rank, urgent calls
// would queue behind all other calls of their workspace.
BOOST_AUTO_TEST_CASE(RoutesAreRankedWithinAWorkspaceRank) {
  const PlanIndex index = Index();
  const PlanRoute& urgent = *index.FindRoute("a.example", "/x/");
  const PlanRoute& other = *index.FindRoute("b.example", "/");
  const PlanWorkspace* one = index.FindWorkspace("k1");
  const PlanWorkspace* two = index.FindWorkspace("k2");
  BOOST_TEST(index.RankOf(urgent, one) == 0U);
  BOOST_TEST(index.RankOf(other, one) == 1U);
  BOOST_TEST(index.RankOf(urgent, two) == 2U);
  BOOST_TEST(index.RankOf(other, two) == 3U);
  BOOST_TEST(index.RankOf(urgent, nullptr) == 0U);
}

BOOST_AUTO_TEST_CASE(FindsTheWorkspaceOfAKey) {
  const PlanIndex index = Index();
  BOOST_TEST(index.FindWorkspace("k2")->name == WorkspaceId("two"));
  BOOST_TEST(index.FindWorkspace("k3") == nullptr);
  BOOST_TEST(index.FindWorkspace("") == nullptr);
}

BOOST_AUTO_TEST_CASE(EmptyPlanHasVersionZeroAndNoRoutes) {
  const PlanIndex index;
  BOOST_TEST(index.plan().version == 0U);
  BOOST_TEST(index.FindRoute("a.example", "/") == nullptr);
}

}  // namespace
}  // namespace coltsfootfork

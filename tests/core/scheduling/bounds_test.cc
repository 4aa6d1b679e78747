#include <boost/test/unit_test.hpp>
#include <chrono>

#include "core/scheduling/batch_limiter.h"
#include "core/scheduling/fence_guard.h"
#include "core/scheduling/memory_peak.h"
#include "core/scheduling/server_lifecycle.h"
#include "core/scheduling/workspace_limiter.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(ThePeakIsNotTheSumOfFinalSizes) {
  // The first ends after 10 steps: 2 * 10 more tokens by then.
  BOOST_TEST(PredictPeak({{100, 10}, {50, 1000}}, 1000) == 1050);
  BOOST_TEST(PredictPeak({{1000, 10}, {50, 20}}, 1000) == 1070);
  BOOST_TEST(PredictPeak({}, 1000) == 0);
}

BOOST_AUTO_TEST_CASE(ThePeakCountsOnlyWithinTheGivenSteps) {
  BOOST_TEST(PredictPeak({{100, 10}, {50, 1000}}, 20) == 170);
  BOOST_TEST(PredictPeak({{100, 30}, {50, 1000}}, 20) == 190);
}

// Runs the bound for a minute against a server whose gap is 0.5 ms a request.
double BoundAfterAMinute(BatchLimiter& bound, Time& now) {
  for (int i = 0; i < 3000; ++i) {
    const auto running = static_cast<std::uint32_t>(bound.Limit());
    for (std::uint32_t n = 0; n < running; ++n) {
      bound.CountGap(std::chrono::microseconds(500) * running);
    }
    bound.Observe(running, now);
    now += milliseconds(20);
  }
  return bound.Limit();
}

BOOST_AUTO_TEST_CASE(TheBatchFollowsTheStrictestPromiseThatHasWork) {
  BatchLimiter bound;
  bound.SetTarget(Rank::kUrgent, milliseconds(27));
  bound.SetTarget(Rank::kDeferrable, milliseconds(60));
  Time now;
  const double alone = BoundAfterAMinute(bound, now);
  BOOST_TEST(alone > 100);
  BOOST_TEST(alone < 125);
  for (int i = 0; i < 3; ++i) {
    bound.OnRankActive(Rank::kUrgent, now);
    now += seconds(1);
  }
  Time until = now;
  while (until < now + seconds(25)) {
    const auto running = static_cast<std::uint32_t>(bound.Limit());
    for (int n = 0; n < 50; ++n) {
      bound.CountGap(std::chrono::microseconds(500) * running);
    }
    bound.Observe(running, until);
    until += milliseconds(20);
  }
  BOOST_TEST(bound.Limit() > 45);
  BOOST_TEST(bound.Limit() < 60);
}

BOOST_AUTO_TEST_CASE(AServerThatIsLateWithAnyBatchKeepsItsBatch) {
  BatchLimiter bound;
  bound.SetTarget(Rank::kUrgent, milliseconds(27));
  bound.SetTarget(Rank::kDeferrable, milliseconds(27));
  bound.SetServerMax(64);
  Time now;
  double least = 64;
  for (int i = 0; i < 6000; ++i) {
    const auto running = static_cast<std::uint32_t>(bound.Limit());
    for (std::uint32_t n = 0; n < running; ++n) {
      bound.CountGap(milliseconds(40));
    }
    bound.Observe(running, now);
    now += milliseconds(20);
    if (i > 4000) least = std::min(least, bound.Limit());
  }
  BOOST_TEST(least > 40);
}

Configuration Limited(WorkspaceLimits limits) {
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.limits = limits;
  Configuration configuration;
  configuration.workspaces = {workspace};
  return configuration;
}

BOOST_AUTO_TEST_CASE(TheShareOfARequestRateHolds) {
  WorkspaceLimiter limiter(0.5);
  limiter.SetLimits(Limited({20, 0, 0}));
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    const LimitVerdict verdict =
        limiter.Admit(WorkspaceId("w"), true, Time(milliseconds(10 * i)));
    if (verdict.reason == Reason::kNone) ++taken;
  }
  // Ten seconds at half of 20 a second, and one second's worth at the start.
  BOOST_TEST(taken >= 108);
  BOOST_TEST(taken <= 110);
}

BOOST_AUTO_TEST_CASE(TokensMadeCountAgainstTheNextRequests) {
  WorkspaceLimiter limiter(1);
  limiter.SetLimits(Limited({0, 100, 0}));
  const WorkspaceId workspace("w");
  BOOST_TEST((limiter.Admit(workspace, true, Time()).reason == Reason::kNone));
  limiter.CountTokens(workspace, 400, Time());
  const LimitVerdict refused = limiter.Admit(workspace, true, Time(seconds(1)));
  BOOST_TEST((refused.reason == Reason::kWorkspaceTokenLimit));
  const Time later = Time(seconds(1)) + refused.retry_after;
  BOOST_TEST((limiter.Admit(workspace, true, later).reason == Reason::kNone));
}

BOOST_AUTO_TEST_CASE(AChangeOfLimitsKeepsTheStreamsThatRun) {
  WorkspaceLimiter limiter(1);
  const WorkspaceId workspace("w");
  limiter.SetLimits(Limited({0, 0, 2}));
  limiter.Admit(workspace, true, Time());
  limiter.Admit(workspace, true, Time());
  limiter.SetLimits(Limited({0, 0, 1}));
  BOOST_TEST((limiter.Admit(workspace, true, Time()).reason ==
              Reason::kWorkspaceStreamLimit));
  limiter.ReleaseStream(workspace);
  limiter.ReleaseStream(workspace);
  BOOST_TEST((limiter.Admit(workspace, true, Time()).reason == Reason::kNone));
}

EngineOrder Order(std::uint64_t term, std::uint64_t sequence) {
  EngineOrder order;
  order.fence = {term, sequence};
  return order;
}

BOOST_AUTO_TEST_CASE(NoOrderPassesBeforeTheFloorNorBelowTheNewest) {
  FenceGuard guard;
  BOOST_TEST(!guard.Check(Order(9, 9)).valid);
  guard.RaiseFloor({3, 5});
  guard.RaiseFloor({2, 9});
  BOOST_TEST(!guard.Check(Order(3, 4)).valid);
  BOOST_TEST(guard.Check(Order(3, 5)).valid);
  BOOST_TEST(!guard.Check(Order(3, 5)).valid);
  BOOST_TEST(guard.Check(Order(4, 1)).valid);
  BOOST_TEST(!guard.Check(Order(3, 6)).valid);
}

BOOST_AUTO_TEST_CASE(TheServerServesAgainOnlyWhenItSaysSo) {
  ServerLifecycle life;
  BOOST_TEST((life.stage() == ServerStage::kUnavailable));
  life.OnTimeout();
  life.OnServing();
  BOOST_TEST((life.stage() == ServerStage::kServing));
  life.OnDraining();
  BOOST_TEST((life.stage() == ServerStage::kDraining));
  life.OnTimeout();
  BOOST_TEST((life.stage() == ServerStage::kUnavailable));
  life.OnDraining();
  BOOST_TEST((life.stage() == ServerStage::kDraining));
  life.OnServing();
  BOOST_TEST((life.stage() == ServerStage::kServing));
}

}  // namespace
}  // namespace coltsfootfork

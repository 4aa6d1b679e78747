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

BOOST_AUTO_TEST_CASE(PeakIsNotSumOfFinalSizes) {
  // The first ends after 10 steps: 2 * 10 more tokens by then.
  BOOST_TEST(PredictPeak({{100, 10}, {50, 1000}}, 1000) == 1050);
  BOOST_TEST(PredictPeak({{1000, 10}, {50, 20}}, 1000) == 1070);
  BOOST_TEST(PredictPeak({}, 1000) == 0);
}

BOOST_AUTO_TEST_CASE(PeakCountsOnlyWithinGivenSteps) {
  BOOST_TEST(PredictPeak({{100, 10}, {50, 1000}}, 20) == 170);
  BOOST_TEST(PredictPeak({{100, 30}, {50, 1000}}, 20) == 190);
}

// Runs the limiter for a minute; the token gap is 0.5 ms per running request.
double LimitAfterAMinute(BatchLimiter& bound, Time& now) {
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

BOOST_AUTO_TEST_CASE(BatchLimitFollowsStrictestActiveTarget) {
  BatchLimiter bound;
  bound.SetTarget(Rank::kUrgent, milliseconds(27));
  bound.SetTarget(Rank::kDeferrable, milliseconds(60));
  Time now;
  const double alone = LimitAfterAMinute(bound, now);
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

BOOST_AUTO_TEST_CASE(LimitIsKeptWhenGapsDoNotDependOnBatch) {
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

Configuration ConfigurationWithLimits(WorkspaceLimits limits) {
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.limits = limits;
  Configuration configuration;
  configuration.workspaces = {workspace};
  return configuration;
}

BOOST_AUTO_TEST_CASE(RequestRateShareIsEnforced) {
  WorkspaceLimiter limiter(0.5);
  limiter.SetLimits(ConfigurationWithLimits({20, 0, 0}));
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    const LimitVerdict verdict =
        limiter.Admit(WorkspaceId("w"), true, Time(milliseconds(10 * i)));
    if (verdict.reason == Reason::kNone) ++admitted;
  }
  // Ten seconds at half of 20 requests per second, plus one second of burst.
  BOOST_TEST(admitted >= 108);
  BOOST_TEST(admitted <= 110);
}

BOOST_AUTO_TEST_CASE(GeneratedTokensCountAgainstNextRequests) {
  WorkspaceLimiter limiter(1);
  limiter.SetLimits(ConfigurationWithLimits({0, 100, 0}));
  const WorkspaceId workspace("w");
  BOOST_TEST((limiter.Admit(workspace, true, Time()).reason == Reason::kNone));
  limiter.CountTokens(workspace, 400, Time());
  const LimitVerdict refused = limiter.Admit(workspace, true, Time(seconds(1)));
  BOOST_TEST((refused.reason == Reason::kWorkspaceTokenLimit));
  const Time later = Time(seconds(1)) + refused.retry_after;
  BOOST_TEST((limiter.Admit(workspace, true, later).reason == Reason::kNone));
}

BOOST_AUTO_TEST_CASE(LimitChangeKeepsRunningStreams) {
  WorkspaceLimiter limiter(1);
  const WorkspaceId workspace("w");
  limiter.SetLimits(ConfigurationWithLimits({0, 0, 2}));
  limiter.Admit(workspace, true, Time());
  limiter.Admit(workspace, true, Time());
  limiter.SetLimits(ConfigurationWithLimits({0, 0, 1}));
  BOOST_TEST((limiter.Admit(workspace, true, Time()).reason ==
              Reason::kWorkspaceStreamLimit));
  limiter.ReleaseStream(workspace);
  limiter.ReleaseStream(workspace);
  BOOST_TEST((limiter.Admit(workspace, true, Time()).reason == Reason::kNone));
}

EngineOrder MakeOrder(std::uint64_t term, std::uint64_t sequence) {
  EngineOrder order;
  order.fence = {term, sequence};
  return order;
}

BOOST_AUTO_TEST_CASE(OrdersBeforeFloorOrBelowNewestAreRejected) {
  FenceGuard guard;
  BOOST_TEST(!guard.Check(MakeOrder(9, 9)).valid);
  guard.RaiseFloor({3, 5});
  guard.RaiseFloor({2, 9});
  BOOST_TEST(!guard.Check(MakeOrder(3, 4)).valid);
  BOOST_TEST(guard.Check(MakeOrder(3, 5)).valid);
  BOOST_TEST(!guard.Check(MakeOrder(3, 5)).valid);
  BOOST_TEST(guard.Check(MakeOrder(4, 1)).valid);
  BOOST_TEST(!guard.Check(MakeOrder(3, 6)).valid);
}

BOOST_AUTO_TEST_CASE(ServerServesAgainOnlyAfterAnnouncement) {
  ServerLifecycle lifecycle;
  BOOST_TEST((lifecycle.stage() == ServerStage::kUnavailable));
  lifecycle.OnTimeout();
  lifecycle.OnServing();
  BOOST_TEST((lifecycle.stage() == ServerStage::kServing));
  lifecycle.OnDraining();
  BOOST_TEST((lifecycle.stage() == ServerStage::kDraining));
  lifecycle.OnTimeout();
  BOOST_TEST((lifecycle.stage() == ServerStage::kUnavailable));
  lifecycle.OnDraining();
  BOOST_TEST((lifecycle.stage() == ServerStage::kDraining));
  lifecycle.OnServing();
  BOOST_TEST((lifecycle.stage() == ServerStage::kServing));
}

}  // namespace
}  // namespace coltsfootfork

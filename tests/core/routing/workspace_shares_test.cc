#include "core/routing/workspace_shares.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>

#include "coltsfootfork/core/routing/demand_split.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceId kWorkspace("w1");

LimitedRequest Stream(std::uint32_t prompt_tokens) {
  return {kWorkspace, RequestKind::kGeneration, prompt_tokens};
}

BOOST_AUTO_TEST_SUITE(WorkspaceSharesTest)

BOOST_AUTO_TEST_CASE(RequestLimitHoldsOverTime) {
  WorkspaceShares shares(0.5);
  const WorkspaceLimits limits{20, 0, 0};
  int admitted = 0;
  const Time start{seconds(100)};
  for (int i = 0; i < 1000; ++i) {
    const auto refusal =
        shares.Admit(Stream(0), limits, start + milliseconds(10) * i);
    if (refusal.reason == Reason::kNone) {
      ++admitted;
    } else {
      BOOST_TEST((refusal.reason == Reason::kWorkspaceRequestLimit));
      BOOST_TEST(refusal.retry_after.count() > 0);
      BOOST_TEST(refusal.retry_after.count() <= 100);
    }
  }
  // Half of 20 per second for 10 s, plus the bucket's capacity of one second.
  BOOST_TEST(admitted >= 100);
  BOOST_TEST(admitted <= 110);
}

BOOST_AUTO_TEST_CASE(TokensAreChargedOnDelivery) {
  WorkspaceShares shares(1.0);
  const WorkspaceLimits limits{0, 100, 0};
  const Time now{seconds(100)};
  BOOST_TEST((shares.Admit(Stream(50), limits, now).reason == Reason::kNone));
  for (int i = 0; i < 150; ++i) shares.OnToken(kWorkspace, now);
  const auto refusal = shares.Admit(Stream(0), limits, now);
  BOOST_TEST((refusal.reason == Reason::kWorkspaceTokenLimit));
  BOOST_TEST(refusal.retry_after.count() == 1010);
  BOOST_TEST(
      (shares.Admit(Stream(0), limits, now + refusal.retry_after).reason ==
       Reason::kNone));
}

BOOST_AUTO_TEST_CASE(NewLimitDoesNotCountEarlierWork) {
  WorkspaceShares shares(1.0);
  const Time now{seconds(100)};
  shares.Admit(Stream(5000), {}, now);
  for (int i = 0; i < 5000; ++i) shares.OnToken(kWorkspace, now);
  BOOST_TEST(
      (shares.Admit(Stream(0), {10, 10, 0}, now).reason == Reason::kNone));
}

BOOST_AUTO_TEST_CASE(StreamsCountUntilTheyEnd) {
  WorkspaceShares shares(1.0);
  const WorkspaceLimits limits{0, 0, 2};
  const Time now{seconds(100)};
  const auto admit = [&] {
    return shares.Admit(Stream(0), limits, now).reason;
  };
  BOOST_TEST((admit() == Reason::kNone));
  BOOST_TEST((admit() == Reason::kNone));
  BOOST_TEST((admit() == Reason::kWorkspaceStreamLimit));
  shares.OnEnded(kWorkspace, RequestKind::kGeneration);
  BOOST_TEST((admit() == Reason::kNone));
}

BOOST_AUTO_TEST_CASE(GrantReplacesTheDefaultShare) {
  WorkspaceShares shares(1.0);
  shares.Grant({{kWorkspace, {1, 1, 0}}});
  BOOST_TEST((shares.Admit(Stream(0), {0, 0, 5}, Time(seconds(1))).reason ==
              Reason::kWorkspaceStreamLimit));
}

BOOST_AUTO_TEST_CASE(DemandIncludesRefusedRequests) {
  WorkspaceShares shares(1.0);
  const WorkspaceLimits limits{1, 0, 0};
  for (int i = 0; i < 7; ++i) shares.Admit(Stream(3), limits, Time(seconds(5)));
  const auto demand = shares.Demand(Time(seconds(6)));
  BOOST_REQUIRE(demand.size() == 1U);
  BOOST_TEST(demand[0].wanted.requests_per_second == 7U);
  BOOST_TEST(demand[0].wanted.tokens_per_second == 21U);
  BOOST_TEST(shares.Demand(Time(seconds(9)))[0].wanted.requests_per_second ==
             0U);
}

BOOST_AUTO_TEST_CASE(SplitNeverExceedsTheLimitAndFollowsDemand) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 500; ++round) {
    const WorkspaceLimits limits{static_cast<std::uint32_t>(random() % 1000), 0,
                                 static_cast<std::uint32_t>(random() % 5)};
    std::vector<EntryDemand> demands(1 + random() % 6);
    for (EntryDemand& demand : demands) {
      demand.wanted.requests_per_second =
          static_cast<std::uint32_t>(random() % 600);
    }
    std::uint32_t requests = 0;
    std::uint32_t streams = 0;
    for (const EntryShare& share : SplitByDemand(limits, demands)) {
      requests += share.share.requests_per_second;
      streams += share.share.concurrent_streams;
    }
    BOOST_TEST(requests == limits.requests_per_second);
    BOOST_TEST(streams == limits.concurrent_streams);
  }
  const auto shares = SplitByDemand(
      {100, 0, 0},
      {{ProcessId("e1"), {10, 0, 0}}, {ProcessId("e2"), {500, 0, 0}}});
  BOOST_TEST(shares[0].share.requests_per_second == 10U);
  BOOST_TEST(shares[1].share.requests_per_second == 90U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork

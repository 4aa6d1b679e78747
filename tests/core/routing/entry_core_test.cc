#include "coltsfootfork/core/routing/entry_core.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "core/routing/fake_cluster.h"

namespace coltsfootfork {
namespace {

using testing::FakeCluster;
using testing::kStreamTokens;
using testing::TokenText;

BOOST_AUTO_TEST_SUITE(EntryCoreTest)

BOOST_AUTO_TEST_CASE(StreamIsDeliveredInOrderAndEnds) {
  FakeCluster cluster(3);
  cluster.Input(FakeCluster::Generation("a"));
  cluster.AgentOf("a").Finish(RequestId("a"));
  cluster.DeliverAll();
  const auto& caller = cluster.Caller("a");
  BOOST_REQUIRE_EQUAL(caller.tokens.size(), kStreamTokens);
  for (std::uint32_t i = 0; i < kStreamTokens; ++i) {
    BOOST_TEST(caller.tokens[i] == TokenText(RequestId("a"), 1, i));
  }
  BOOST_REQUIRE(caller.end.has_value());
  BOOST_TEST(caller.end->token_count == kStreamTokens);
  BOOST_TEST(caller.final_count == 1);
  BOOST_TEST(cluster.entry.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(PlainCallGetsItsResponse) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::PlainCall("a", "POST"));
  cluster.Input(FakeCluster::PlainCall("b", "GET"));
  // The responses arrive in another order than the calls.
  cluster.AgentOf("b").Finish(RequestId("b"));
  cluster.DeliverAll();
  cluster.AgentOf("a").Finish(RequestId("a"));
  cluster.DeliverAll();
  BOOST_REQUIRE(cluster.Caller("a").answer.has_value());
  BOOST_TEST(cluster.Caller("a").answer->body == "answer to a");
  BOOST_TEST(cluster.Caller("b").answer->body == "answer to b");
}

BOOST_AUTO_TEST_CASE(DisconnectedCallerCancelsItsRequest) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::Generation("a"));
  cluster.AgentOf("a").Start(RequestId("a"));
  cluster.Input(CallerDisconnected{RequestId("a")});
  BOOST_TEST(cluster.AgentIdOf("a") == ProcessId("none"));
  BOOST_TEST(cluster.counts[Reason::kCallerDisconnected] == 1);
  BOOST_TEST(cluster.entry.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(StopRefusesNewRequestsAndCompletesRunningOnes) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::Generation("a"));
  cluster.Input(StopRequested{});
  BOOST_TEST(!cluster.entry.Drained());
  cluster.Input(FakeCluster::Generation("b"));
  BOOST_REQUIRE(cluster.Caller("b").problem.has_value());
  BOOST_TEST((cluster.Caller("b").problem->reason == Reason::kStopping));
  BOOST_TEST(cluster.Caller("b").problem->not_run);
  cluster.AgentOf("a").Finish(RequestId("a"));
  cluster.DeliverAll();
  BOOST_TEST(cluster.Caller("a").end.has_value());
  BOOST_TEST(cluster.entry.Drained());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork

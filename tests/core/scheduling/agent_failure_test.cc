#include <boost/test/unit_test.hpp>

#include "core/scheduling/agent_harness.h"

namespace coltsfootfork {
namespace {

// Starts two requests, one of them past its first token, and queues a third.
void RunTwoAndQueueOne(AgentHarness& agent) {
  agent.announcement.max_batch = 2;
  agent.StartServing();
  for (const char* id : {"begun", "fresh", "waiting"}) {
    agent.FromEntry(AgentHarness::MakeDispatch(id));
  }
  agent.GenerateToken("begun", 0);
}

// Running requests are interrupted; the queued one is reported as not run.
void CheckServerLost(const AgentHarness& agent) {
  const auto interrupted = agent.SentToEntry<RequestInterrupted>();
  BOOST_TEST(interrupted.size() == 2U);
  for (const RequestInterrupted& message : interrupted) {
    BOOST_TEST((message.reason == Reason::kServerLost));
    BOOST_TEST(message.resumable);
  }
  const auto refused = agent.SentToEntry<RequestRefused>();
  BOOST_TEST(refused.size() == 1U);
  BOOST_TEST((refused.at(0).request == RequestId("waiting")));
  BOOST_TEST((refused.at(0).reason == Reason::kServerLost));
}

BOOST_AUTO_TEST_CASE(ServerTimeoutInterruptsRequests) {
  AgentHarness agent;
  RunTwoAndQueueOne(agent);
  agent.Tick(milliseconds(1999));
  BOOST_TEST(agent.SentToEntry<RequestInterrupted>().empty());
  agent.Tick(milliseconds(1));
  CheckServerLost(agent);
  BOOST_TEST(agent.SentToEngine<EngineCancel>().size() == 2U);
  BOOST_TEST(!agent.SentToEntry<ServerReport>().back().serving);
  agent.GenerateToken("begun", 1);
  BOOST_TEST(agent.CountOf(Reason::kStaleGeneration) == 1);
  agent.FromEngine(agent.announcement);
  BOOST_TEST(agent.SentToEntry<ServerReport>().back().serving);
}

BOOST_AUTO_TEST_CASE(NewIncarnationInterruptsRequestsOfOldOne) {
  AgentHarness agent;
  RunTwoAndQueueOne(agent);
  agent.announcement.incarnation = 2;
  agent.FromEngine(agent.announcement);
  CheckServerLost(agent);
  BOOST_TEST(agent.SentToEntry<ServerReport>().back().incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(StalledStreamOnLiveServerIsInterrupted) {
  AgentHarness agent;
  RunTwoAndQueueOne(agent);
  for (int i = 0; i < 3; ++i) {
    agent.Tick(milliseconds(1000));
    agent.FromEngine(agent.announcement);
  }
  agent.Tick(milliseconds(1));
  const auto interrupted = agent.SentToEntry<RequestInterrupted>();
  BOOST_TEST(interrupted.size() == 1U);
  BOOST_TEST((interrupted.at(0).request == RequestId("begun")));
  BOOST_TEST((interrupted.at(0).reason == Reason::kStreamStalled));
  BOOST_TEST(agent.SentToEngine<EngineCancel>().size() == 1U);
  BOOST_TEST(agent.SubmittedIds() == "begun fresh waiting");
}

BOOST_AUTO_TEST_CASE(PreemptedStreamHasLongerTimeout) {
  AgentHarness agent;
  RunTwoAndQueueOne(agent);
  agent.FromEngine(EnginePreempted{RequestId("begun"), 1});
  for (int i = 0; i < 10; ++i) {
    agent.Tick(milliseconds(1000));
    agent.FromEngine(agent.announcement);
  }
  BOOST_TEST(agent.CountOf(Reason::kStreamStalled) == 0);
  agent.GenerateToken("begun", 1);
  BOOST_TEST(agent.SentToEntry<TokenFrame>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(TimedOutPlainCallHasUnknownOutcome) {
  AgentHarness agent;
  agent.StartServing();
  Dispatch call = AgentHarness::MakeDispatch("sale");
  call.kind = RequestKind::kPlainCall;
  call.non_idempotent = true;
  agent.FromEntry(call);
  for (int i = 0; i < 60; ++i) {
    agent.FromEngine(agent.announcement);
    agent.Tick(milliseconds(1000));
  }
  BOOST_TEST((agent.SentToEntry<RequestInterrupted>().at(0).reason ==
              Reason::kOutcomeUnknown));
  BOOST_TEST(!agent.SentToEntry<RequestInterrupted>().at(0).resumable);
  BOOST_TEST(agent.SentToEngine<EngineCancel>().empty());
}

BOOST_AUTO_TEST_CASE(DrainingServerCompletesRunningRequestsOnly) {
  AgentHarness agent;
  RunTwoAndQueueOne(agent);
  agent.announcement.draining = true;
  agent.FromEngine(agent.announcement);
  BOOST_TEST(agent.SentToEntry<ServerReport>().back().draining);
  BOOST_TEST((agent.SentToEntry<RequestRefused>().at(0).request ==
              RequestId("waiting")));
  agent.FromEntry(AgentHarness::MakeDispatch("new"));
  BOOST_TEST(agent.CountOf(Reason::kServerDraining) == 2);
  agent.Complete("begun", 1);
  agent.GenerateToken("fresh", 0);
  agent.Complete("fresh", 1);
  BOOST_TEST(agent.SentToEntry<RequestCompleted>().size() == 2U);
  BOOST_TEST(agent.SentToEntry<RequestInterrupted>().empty());
  BOOST_TEST(agent.core.Drained());
}

BOOST_AUTO_TEST_CASE(ReclaimMigratesOnlyUnfinishableRequests) {
  AgentHarness agent;
  agent.StartServing();
  Dispatch almost_done = AgentHarness::MakeDispatch("almost");
  almost_done.max_output_tokens = 4;
  agent.FromEntry(almost_done);
  agent.FromEntry(AgentHarness::MakeDispatch("long"));
  agent.announcement.draining = true;
  agent.announcement.drain_timeout = milliseconds(5000);
  agent.FromEngine(agent.announcement);
  const auto migrating = agent.SentToEntry<RequestInterrupted>();
  BOOST_TEST(migrating.size() == 1U);
  BOOST_TEST((migrating.at(0).request == RequestId("long")));
  BOOST_TEST((migrating.at(0).reason == Reason::kReclaimMove));
  BOOST_TEST(migrating.at(0).resumable);
  agent.announcement.drain_timeout = milliseconds(1000);
  agent.FromEngine(agent.announcement);
  BOOST_TEST(agent.CountOf(Reason::kReclaimMove) == 2);
}

BOOST_AUTO_TEST_CASE(ReclaimDoesNotMigrateNonResumableStreams) {
  AgentHarness agent;
  agent.announcement.can_resume = false;
  RunTwoAndQueueOne(agent);
  agent.announcement.draining = true;
  agent.announcement.drain_timeout = milliseconds(1000);
  agent.FromEngine(agent.announcement);
  const auto migrating = agent.SentToEntry<RequestInterrupted>();
  BOOST_TEST(migrating.size() == 1U);
  BOOST_TEST((migrating.at(0).request == RequestId("fresh")));
}

BOOST_AUTO_TEST_CASE(GracefulShutdownInterruptsNothing) {
  AgentHarness agent;
  RunTwoAndQueueOne(agent);
  agent.Input(StopRequested{});
  agent.FromEntry(AgentHarness::MakeDispatch("new"));
  BOOST_TEST(agent.CountOf(Reason::kStopping) == 2);
  BOOST_TEST(agent.SentToEntry<ServerReport>().back().draining);
  BOOST_TEST(!agent.core.Drained());
  agent.Complete("begun", 1);
  agent.GenerateToken("fresh", 0);
  agent.Complete("fresh", 1);
  BOOST_TEST(agent.core.Drained());
  BOOST_TEST(agent.SentToEntry<RequestInterrupted>().empty());
}

BOOST_AUTO_TEST_CASE(AgentRejectsStaleOrder) {
  AgentHarness agent;
  agent.StartServing();
  const EngineOrder order{{2, 1}, "load", "model", "v2"};
  agent.Input(ControlOrder{order});
  BOOST_TEST(agent.SentToEngine<EngineOrder>().empty());
  agent.Input(FencingTokenFloor{{2, 0}});
  agent.Input(ControlOrder{order});
  agent.Input(ControlOrder{{{1, 9}, "unload", "model", "v1"}});
  BOOST_TEST(agent.SentToEngine<EngineOrder>().size() == 1U);
}

}  // namespace
}  // namespace coltsfootfork

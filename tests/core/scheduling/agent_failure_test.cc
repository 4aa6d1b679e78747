#include <boost/test/unit_test.hpp>

#include "core/scheduling/agent_harness.h"

namespace coltsfootfork {
namespace {

// Two requests run, one with a token, and one waits.
void RunTwoOfThree(AgentHarness& agent) {
  agent.announced.max_batch = 2;
  agent.Serve();
  for (const char* id : {"begun", "fresh", "waiting"}) {
    agent.Send(AgentHarness::Work(id));
  }
  agent.Token("begun", 0);
}

// What runs is interrupted, what waits is proved not to have run.
void CheckLost(const AgentHarness& agent) {
  const auto interrupted = agent.AtEntry<RequestInterrupted>();
  BOOST_TEST(interrupted.size() == 2U);
  for (const RequestInterrupted& message : interrupted) {
    BOOST_TEST((message.reason == Reason::kServerLost));
    BOOST_TEST(message.resumable);
  }
  const auto refused = agent.AtEntry<RequestRefused>();
  BOOST_TEST(refused.size() == 1U);
  BOOST_TEST((refused.at(0).request == RequestId("waiting")));
  BOOST_TEST((refused.at(0).reason == Reason::kServerLost));
}

BOOST_AUTO_TEST_CASE(ASilentServerIsLost) {
  AgentHarness agent;
  RunTwoOfThree(agent);
  agent.Tick(milliseconds(1999));
  BOOST_TEST(agent.AtEntry<RequestInterrupted>().empty());
  agent.Tick(milliseconds(1));
  CheckLost(agent);
  BOOST_TEST(agent.AtEngine<EngineCancel>().size() == 2U);
  BOOST_TEST(!agent.AtEntry<ServerReport>().back().serving);
  agent.Token("begun", 1);
  BOOST_TEST(agent.Counted(Reason::kStaleGeneration) == 1);
  agent.Engine(agent.announced);
  BOOST_TEST(agent.AtEntry<ServerReport>().back().serving);
}

BOOST_AUTO_TEST_CASE(ANewIncarnationHasLostWhatTheOldOneRan) {
  AgentHarness agent;
  RunTwoOfThree(agent);
  agent.announced.incarnation = 2;
  agent.Engine(agent.announced);
  CheckLost(agent);
  BOOST_TEST(agent.AtEntry<ServerReport>().back().incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(AStreamThatStallsOnALiveServerIsEnded) {
  AgentHarness agent;
  RunTwoOfThree(agent);
  for (int i = 0; i < 3; ++i) {
    agent.Tick(milliseconds(1000));
    agent.Engine(agent.announced);
  }
  agent.Tick(milliseconds(1));
  const auto interrupted = agent.AtEntry<RequestInterrupted>();
  BOOST_TEST(interrupted.size() == 1U);
  BOOST_TEST((interrupted.at(0).request == RequestId("begun")));
  BOOST_TEST((interrupted.at(0).reason == Reason::kStreamStalled));
  BOOST_TEST(agent.AtEngine<EngineCancel>().size() == 1U);
  BOOST_TEST(agent.Started() == "begun fresh waiting");
}

BOOST_AUTO_TEST_CASE(APreemptedStreamIsGivenMoreTime) {
  AgentHarness agent;
  RunTwoOfThree(agent);
  agent.Engine(EnginePreempted{RequestId("begun"), 1});
  for (int i = 0; i < 10; ++i) {
    agent.Tick(milliseconds(1000));
    agent.Engine(agent.announced);
  }
  BOOST_TEST(agent.Counted(Reason::kStreamStalled) == 0);
  agent.Token("begun", 1);
  BOOST_TEST(agent.AtEntry<TokenFrame>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(TheOutcomeOfASilentPlainCallIsUnknown) {
  AgentHarness agent;
  agent.Serve();
  Dispatch sale = AgentHarness::Work("sale");
  sale.kind = RequestKind::kPlainCall;
  sale.non_idempotent = true;
  agent.Send(sale);
  for (int i = 0; i < 60; ++i) {
    agent.Engine(agent.announced);
    agent.Tick(milliseconds(1000));
  }
  BOOST_TEST((agent.AtEntry<RequestInterrupted>().at(0).reason ==
              Reason::kOutcomeUnknown));
  BOOST_TEST(!agent.AtEntry<RequestInterrupted>().at(0).resumable);
  BOOST_TEST(agent.AtEngine<EngineCancel>().empty());
}

BOOST_AUTO_TEST_CASE(ALeavingServerGetsNothingNewAndEndsWhatItRuns) {
  AgentHarness agent;
  RunTwoOfThree(agent);
  agent.announced.draining = true;
  agent.Engine(agent.announced);
  BOOST_TEST(agent.AtEntry<ServerReport>().back().draining);
  BOOST_TEST(
      (agent.AtEntry<RequestRefused>().at(0).request == RequestId("waiting")));
  agent.Send(AgentHarness::Work("new"));
  BOOST_TEST(agent.Counted(Reason::kServerDraining) == 2);
  agent.Complete("begun", 1);
  agent.Token("fresh", 0);
  agent.Complete("fresh", 1);
  BOOST_TEST(agent.AtEntry<RequestCompleted>().size() == 2U);
  BOOST_TEST(agent.AtEntry<RequestInterrupted>().empty());
  BOOST_TEST(agent.core.Drained());
}

BOOST_AUTO_TEST_CASE(AReclaimMovesOnlyWhatWouldBeCutOff) {
  AgentHarness agent;
  agent.Serve();
  Dispatch almost_done = AgentHarness::Work("almost");
  almost_done.max_output_tokens = 4;
  agent.Send(almost_done);
  agent.Send(AgentHarness::Work("long"));
  agent.announced.draining = true;
  agent.announced.drain_timeout = milliseconds(5000);
  agent.Engine(agent.announced);
  const auto moved = agent.AtEntry<RequestInterrupted>();
  BOOST_TEST(moved.size() == 1U);
  BOOST_TEST((moved.at(0).request == RequestId("long")));
  BOOST_TEST((moved.at(0).reason == Reason::kReclaimMove));
  BOOST_TEST(moved.at(0).resumable);
  agent.announced.drain_timeout = milliseconds(1000);
  agent.Engine(agent.announced);
  BOOST_TEST(agent.Counted(Reason::kReclaimMove) == 2);
}

BOOST_AUTO_TEST_CASE(AReclaimDoesNotMoveWhatCannotGoOnElsewhere) {
  AgentHarness agent;
  agent.announced.can_resume = false;
  RunTwoOfThree(agent);
  agent.announced.draining = true;
  agent.announced.drain_timeout = milliseconds(1000);
  agent.Engine(agent.announced);
  const auto moved = agent.AtEntry<RequestInterrupted>();
  BOOST_TEST(moved.size() == 1U);
  BOOST_TEST((moved.at(0).request == RequestId("fresh")));
}

BOOST_AUTO_TEST_CASE(APlannedStopCutsOffNothing) {
  AgentHarness agent;
  RunTwoOfThree(agent);
  agent.Give(StopRequested{});
  agent.Send(AgentHarness::Work("new"));
  BOOST_TEST(agent.Counted(Reason::kStopping) == 2);
  BOOST_TEST(agent.AtEntry<ServerReport>().back().draining);
  BOOST_TEST(!agent.core.Drained());
  agent.Complete("begun", 1);
  agent.Token("fresh", 0);
  agent.Complete("fresh", 1);
  BOOST_TEST(agent.core.Drained());
  BOOST_TEST(agent.AtEntry<RequestInterrupted>().empty());
}

BOOST_AUTO_TEST_CASE(AnOldOrderStopsAtTheAgent) {
  AgentHarness agent;
  agent.Serve();
  const EngineOrder order{{2, 1}, "load", "model", "v2"};
  agent.Give(ControlOrder{order});
  BOOST_TEST(agent.AtEngine<EngineOrder>().empty());
  agent.Give(FencingTokenFloor{{2, 0}});
  agent.Give(ControlOrder{order});
  agent.Give(ControlOrder{{{1, 9}, "unload", "model", "v1"}});
  BOOST_TEST(agent.AtEngine<EngineOrder>().size() == 1U);
}

}  // namespace
}  // namespace coltsfootfork

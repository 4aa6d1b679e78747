#include "coltsfootfork/core/scheduling/agent_core.h"

#include <boost/test/unit_test.hpp>

#include "core/scheduling/agent_harness.h"

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(RunsARequestFromDispatchToCompletion) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  BOOST_TEST(agent.Started() == "r1");
  agent.Token("r1", 0);
  agent.Token("r1", 1);
  agent.Complete("r1", 2);
  BOOST_TEST(agent.AtEntry<TokenFrame>().size() == 2U);
  BOOST_TEST(agent.AtEntry<RequestCompleted>().at(0).token_count == 2U);
  BOOST_TEST(agent.core.Drained());
}

BOOST_AUTO_TEST_CASE(TakesNothingBeforeConfigurationAndAnnouncement) {
  AgentHarness agent;
  agent.Send(AgentHarness::Work("r1"));
  agent.Configure();
  agent.Send(AgentHarness::Work("r2"));
  BOOST_TEST(agent.Started().empty());
  BOOST_TEST(agent.Counted(Reason::kNotConfigured) == 1);
  BOOST_TEST(agent.Counted(Reason::kServerLost) == 1);
}

BOOST_AUTO_TEST_CASE(UrgentWorkGoesFirst) {
  AgentHarness agent;
  agent.announced.max_batch = 1;
  agent.Serve();
  agent.Send(AgentHarness::Work("d1", Rank::kDeferrable));
  agent.Send(AgentHarness::Work("d2", Rank::kDeferrable));
  agent.Send(AgentHarness::Work("u1"));
  agent.Token("d1", 0);
  agent.Complete("d1", 1);
  BOOST_TEST(agent.Started() == "d1 u1");
}

BOOST_AUTO_TEST_CASE(ADispatchThatComesTwiceRunsOnce) {
  AgentHarness agent;
  agent.announced.max_batch = 1;
  agent.Serve();
  for (const char* id : {"running", "running", "waiting", "waiting"}) {
    agent.Send(AgentHarness::Work(id));
  }
  agent.Token("running", 0);
  agent.Complete("running", 1);
  agent.Send(AgentHarness::Work("running"));
  agent.Token("waiting", 0);
  agent.Complete("waiting", 1);
  BOOST_TEST(agent.Started() == "running waiting");
  BOOST_TEST(agent.Counted(Reason::kDuplicateFrame) == 3);
}

BOOST_AUTO_TEST_CASE(ANewerGenerationFencesTheOlderOff) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  Dispatch newer = AgentHarness::Work("r1");
  newer.generation = 2;
  agent.Send(newer);
  agent.Token("r1", 0, 1);
  agent.Token("r1", 0, 2);
  BOOST_TEST(agent.AtEngine<EngineCancel>().at(0).generation == 1U);
  BOOST_TEST(agent.AtEntry<TokenFrame>().size() == 1U);
  BOOST_TEST(agent.AtEntry<TokenFrame>().at(0).generation == 2U);
  BOOST_TEST(agent.Counted(Reason::kStaleGeneration) == 1);
  agent.Send(AgentHarness::Work("r1"));
  BOOST_TEST(agent.Started() == "r1 r1");
}

Dispatch Sale(Generation generation) {
  Dispatch sale = AgentHarness::Work("sale");
  sale.kind = RequestKind::kPlainCall;
  sale.non_idempotent = true;
  sale.generation = generation;
  return sale;
}

BOOST_AUTO_TEST_CASE(ANonIdempotentCallRunsOnceUnderWhateverGeneration) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(Sale(1));
  agent.Send(Sale(2));
  agent.Complete("sale", 0);
  agent.Send(Sale(3));
  BOOST_TEST(agent.Started() == "sale");
  BOOST_TEST(agent.AtEngine<EngineCancel>().empty());
  BOOST_TEST(agent.AtEntry<RequestCompleted>().size() == 1U);
  BOOST_TEST(agent.AtEntry<RequestRefused>().empty());
}

BOOST_AUTO_TEST_CASE(ANonIdempotentCallThatDidNotRunMayComeAgainAsNew) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(Sale(1));
  agent.Engine(EngineRefused{RequestId("sale"), 1});
  agent.Send(Sale(1));
  BOOST_TEST(agent.Started() == "sale");
  agent.Send(Sale(2));
  BOOST_TEST(agent.Started() == "sale sale");
}

BOOST_AUTO_TEST_CASE(WhatWasRefusedNeverRunsLater) {
  AgentHarness agent;
  agent.Configure();
  agent.Send(AgentHarness::Work("r1"));
  BOOST_TEST(agent.AtEntry<RequestRefused>().size() == 1U);
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  BOOST_TEST(agent.Started().empty());
}

BOOST_AUTO_TEST_CASE(CancelReachesTheEngineAndTheQueue) {
  AgentHarness agent;
  agent.announced.max_batch = 1;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  agent.Send(AgentHarness::Work("r2"));
  agent.Send(CancelRequest{RequestId("r2"), 1});
  agent.Send(CancelRequest{RequestId("r1"), 1});
  BOOST_TEST(agent.AtEngine<EngineCancel>().size() == 1U);
  BOOST_TEST(agent.core.Drained());
  BOOST_TEST(agent.Counted(Reason::kCallerDisconnected) == 2);
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsGoneTakesItsWorkWithIt) {
  AgentHarness agent;
  agent.announced.max_batch = 2;
  agent.Serve();
  Dispatch sale = AgentHarness::Work("sale");
  sale.kind = RequestKind::kPlainCall;
  sale.non_idempotent = true;
  agent.Send(sale);
  agent.Send(AgentHarness::Work("r1"));
  agent.Send(AgentHarness::Work("r2"));
  agent.Give(EntryDisconnected{agent.entry});
  // The sale has begun and goes on to its end.
  BOOST_TEST(agent.AtEngine<EngineCancel>().size() == 1U);
  BOOST_TEST(agent.Counted(Reason::kCallerDisconnected) == 3);
  BOOST_TEST(!agent.core.Drained());
}

BOOST_AUTO_TEST_CASE(TheRefusalOfTheEngineIsProofThatNothingRan) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  agent.Engine(EngineRefused{RequestId("r1"), 1});
  BOOST_TEST(
      (agent.AtEntry<RequestRefused>().at(0).reason == Reason::kServerRefused));
}

BOOST_AUTO_TEST_CASE(ABrokenLinkIsProofOnlyWhereNothingWasSent) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  agent.Send(AgentHarness::Work("r2"));
  agent.Engine(EngineInterrupted{RequestId("r1"), 1, true});
  agent.Engine(EngineInterrupted{RequestId("r2"), 1, false});
  BOOST_TEST(agent.AtEntry<RequestRefused>().size() == 1U);
  BOOST_TEST(agent.AtEntry<RequestInterrupted>().size() == 1U);
  BOOST_TEST(agent.AtEntry<RequestInterrupted>().at(0).resumable);
}

BOOST_AUTO_TEST_CASE(AResumeGoesOnWithTheSameGeneration) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  agent.Token("r1", 0);
  agent.Engine(EngineInterrupted{RequestId("r1"), 1, false});
  Dispatch resume = AgentHarness::Work("r1");
  resume.first_index = 1;
  agent.Send(resume);
  agent.Token("r1", 1);
  agent.Complete("r1", 2);
  BOOST_TEST(agent.Started() == "r1 r1");
  BOOST_TEST(agent.AtEntry<TokenFrame>().back().index == 1U);
  BOOST_TEST(agent.AtEntry<RequestCompleted>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AResumeThatTheEngineDoesNotKnowEndsIncomplete) {
  AgentHarness agent;
  agent.Serve();
  Dispatch resume = AgentHarness::Work("r1");
  resume.first_index = 7;
  agent.Send(resume);
  agent.Engine(EngineRefused{RequestId("r1"), 1});
  BOOST_TEST((agent.AtEntry<RequestInterrupted>().at(0).reason ==
              Reason::kStreamIncomplete));
  BOOST_TEST(!agent.AtEntry<RequestInterrupted>().at(0).resumable);
}

BOOST_AUTO_TEST_CASE(TokensReachTheEntryOnceAndInOrder) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  agent.Token("r1", 0);
  agent.Token("r1", 0);
  agent.Token("r1", 2);
  BOOST_TEST(agent.AtEntry<TokenFrame>().size() == 1U);
  BOOST_TEST(agent.Counted(Reason::kDuplicateFrame) == 1);
  BOOST_TEST(agent.Counted(Reason::kFrameGap) == 1);
  BOOST_TEST(agent.AtEngine<EngineCancel>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnEndThatMissesTokensIsIncomplete) {
  AgentHarness agent;
  agent.Serve();
  agent.Send(AgentHarness::Work("r1"));
  agent.Token("r1", 0);
  agent.Complete("r1", 2);
  BOOST_TEST(agent.AtEntry<RequestCompleted>().empty());
  BOOST_TEST(agent.Counted(Reason::kStreamIncomplete) == 1);
}

}  // namespace
}  // namespace coltsfootfork

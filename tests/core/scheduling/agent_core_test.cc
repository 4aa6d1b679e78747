#include "coltsfootfork/core/scheduling/agent_core.h"

#include <boost/test/unit_test.hpp>

#include "core/scheduling/agent_harness.h"

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(RunsRequestFromDispatchToCompletion) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  BOOST_TEST(agent.SubmittedIds() == "r1");
  agent.GenerateToken("r1", 0);
  agent.GenerateToken("r1", 1);
  agent.Complete("r1", 2);
  BOOST_TEST(agent.SentToEntry<TokenFrame>().size() == 2U);
  BOOST_TEST(agent.SentToEntry<RequestCompleted>().at(0).token_count == 2U);
  BOOST_TEST(agent.core.Drained());
}

BOOST_AUTO_TEST_CASE(RefusesRequestsBeforeConfigurationAndAnnouncement) {
  AgentHarness agent;
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.Configure();
  agent.FromEntry(AgentHarness::MakeDispatch("r2"));
  BOOST_TEST(agent.SubmittedIds().empty());
  BOOST_TEST(agent.CountOf(Reason::kNotConfigured) == 1);
  BOOST_TEST(agent.CountOf(Reason::kServerLost) == 1);
}

BOOST_AUTO_TEST_CASE(UrgentRequestsStartFirst) {
  AgentHarness agent;
  agent.announcement.max_batch = 1;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("d1", Rank::kDeferrable));
  agent.FromEntry(AgentHarness::MakeDispatch("d2", Rank::kDeferrable));
  agent.FromEntry(AgentHarness::MakeDispatch("u1"));
  agent.GenerateToken("d1", 0);
  agent.Complete("d1", 1);
  BOOST_TEST(agent.SubmittedIds() == "d1 u1");
}

BOOST_AUTO_TEST_CASE(DuplicateDispatchRunsOnce) {
  AgentHarness agent;
  agent.announcement.max_batch = 1;
  agent.StartServing();
  for (const char* id : {"running", "running", "waiting", "waiting"}) {
    agent.FromEntry(AgentHarness::MakeDispatch(id));
  }
  agent.GenerateToken("running", 0);
  agent.Complete("running", 1);
  agent.FromEntry(AgentHarness::MakeDispatch("running"));
  agent.GenerateToken("waiting", 0);
  agent.Complete("waiting", 1);
  BOOST_TEST(agent.SubmittedIds() == "running waiting");
  BOOST_TEST(agent.CountOf(Reason::kDuplicateFrame) == 3);
}

BOOST_AUTO_TEST_CASE(NewerGenerationSupersedesOlderOne) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  Dispatch newer = AgentHarness::MakeDispatch("r1");
  newer.generation = 2;
  agent.FromEntry(newer);
  agent.GenerateToken("r1", 0, 1);
  agent.GenerateToken("r1", 0, 2);
  BOOST_TEST(agent.SentToEngine<EngineCancel>().at(0).generation == 1U);
  BOOST_TEST(agent.SentToEntry<TokenFrame>().size() == 1U);
  BOOST_TEST(agent.SentToEntry<TokenFrame>().at(0).generation == 2U);
  BOOST_TEST(agent.CountOf(Reason::kStaleGeneration) == 1);
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  BOOST_TEST(agent.SubmittedIds() == "r1 r1");
}

Dispatch NonIdempotentCall(Generation generation) {
  Dispatch call = AgentHarness::MakeDispatch("sale");
  call.kind = RequestKind::kPlainCall;
  call.non_idempotent = true;
  call.generation = generation;
  return call;
}

BOOST_AUTO_TEST_CASE(NonIdempotentCallRunsOnceAcrossGenerations) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(NonIdempotentCall(1));
  agent.FromEntry(NonIdempotentCall(2));
  agent.Complete("sale", 0);
  agent.FromEntry(NonIdempotentCall(3));
  BOOST_TEST(agent.SubmittedIds() == "sale");
  BOOST_TEST(agent.SentToEngine<EngineCancel>().empty());
  BOOST_TEST(agent.SentToEntry<RequestCompleted>().size() == 1U);
  BOOST_TEST(agent.SentToEntry<RequestRefused>().empty());
}

BOOST_AUTO_TEST_CASE(RefusedNonIdempotentCallRunsUnderNewGeneration) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(NonIdempotentCall(1));
  agent.FromEngine(EngineRefused{RequestId("sale"), 1});
  agent.FromEntry(NonIdempotentCall(1));
  BOOST_TEST(agent.SubmittedIds() == "sale");
  agent.FromEntry(NonIdempotentCall(2));
  BOOST_TEST(agent.SubmittedIds() == "sale sale");
}

BOOST_AUTO_TEST_CASE(RefusedDispatchNeverRunsLater) {
  AgentHarness agent;
  agent.Configure();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  BOOST_TEST(agent.SentToEntry<RequestRefused>().size() == 1U);
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  BOOST_TEST(agent.SubmittedIds().empty());
}

BOOST_AUTO_TEST_CASE(CancelReachesEngineAndQueue) {
  AgentHarness agent;
  agent.announcement.max_batch = 1;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.FromEntry(AgentHarness::MakeDispatch("r2"));
  agent.FromEntry(CancelRequest{RequestId("r2"), 1});
  agent.FromEntry(CancelRequest{RequestId("r1"), 1});
  BOOST_TEST(agent.SentToEngine<EngineCancel>().size() == 1U);
  BOOST_TEST(agent.core.Drained());
  BOOST_TEST(agent.CountOf(Reason::kCallerDisconnected) == 2);
}

BOOST_AUTO_TEST_CASE(EntryDisconnectCancelsItsRequests) {
  AgentHarness agent;
  agent.announcement.max_batch = 2;
  agent.StartServing();
  Dispatch call = AgentHarness::MakeDispatch("sale");
  call.kind = RequestKind::kPlainCall;
  call.non_idempotent = true;
  agent.FromEntry(call);
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.FromEntry(AgentHarness::MakeDispatch("r2"));
  agent.Input(EntryDisconnected{agent.entry});
  // The non-idempotent call has started and runs to completion.
  BOOST_TEST(agent.SentToEngine<EngineCancel>().size() == 1U);
  BOOST_TEST(agent.CountOf(Reason::kCallerDisconnected) == 3);
  BOOST_TEST(!agent.core.Drained());
}

BOOST_AUTO_TEST_CASE(EngineRefusalProvesRequestDidNotRun) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.FromEngine(EngineRefused{RequestId("r1"), 1});
  BOOST_TEST((agent.SentToEntry<RequestRefused>().at(0).reason ==
              Reason::kServerRefused));
}

BOOST_AUTO_TEST_CASE(BrokenLinkProvesNotRunOnlyForUnsentRequests) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.FromEntry(AgentHarness::MakeDispatch("r2"));
  agent.FromEngine(EngineInterrupted{RequestId("r1"), 1, true});
  agent.FromEngine(EngineInterrupted{RequestId("r2"), 1, false});
  BOOST_TEST(agent.SentToEntry<RequestRefused>().size() == 1U);
  BOOST_TEST(agent.SentToEntry<RequestInterrupted>().size() == 1U);
  BOOST_TEST(agent.SentToEntry<RequestInterrupted>().at(0).resumable);
}

BOOST_AUTO_TEST_CASE(ResumeContinuesSameGeneration) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.GenerateToken("r1", 0);
  agent.FromEngine(EngineInterrupted{RequestId("r1"), 1, false});
  Dispatch resume = AgentHarness::MakeDispatch("r1");
  resume.first_index = 1;
  agent.FromEntry(resume);
  agent.GenerateToken("r1", 1);
  agent.Complete("r1", 2);
  BOOST_TEST(agent.SubmittedIds() == "r1 r1");
  BOOST_TEST(agent.SentToEntry<TokenFrame>().back().index == 1U);
  BOOST_TEST(agent.SentToEntry<RequestCompleted>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ResumeUnknownToEngineEndsIncomplete) {
  AgentHarness agent;
  agent.StartServing();
  Dispatch resume = AgentHarness::MakeDispatch("r1");
  resume.first_index = 7;
  agent.FromEntry(resume);
  agent.FromEngine(EngineRefused{RequestId("r1"), 1});
  BOOST_TEST((agent.SentToEntry<RequestInterrupted>().at(0).reason ==
              Reason::kStreamIncomplete));
  BOOST_TEST(!agent.SentToEntry<RequestInterrupted>().at(0).resumable);
}

BOOST_AUTO_TEST_CASE(TokensReachEntryOnceAndInOrder) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.GenerateToken("r1", 0);
  agent.GenerateToken("r1", 0);
  agent.GenerateToken("r1", 2);
  BOOST_TEST(agent.SentToEntry<TokenFrame>().size() == 1U);
  BOOST_TEST(agent.CountOf(Reason::kDuplicateFrame) == 1);
  BOOST_TEST(agent.CountOf(Reason::kFrameGap) == 1);
  BOOST_TEST(agent.SentToEngine<EngineCancel>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CompletionWithMissingTokensIsIncomplete) {
  AgentHarness agent;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("r1"));
  agent.GenerateToken("r1", 0);
  agent.Complete("r1", 2);
  BOOST_TEST(agent.SentToEntry<RequestCompleted>().empty());
  BOOST_TEST(agent.CountOf(Reason::kStreamIncomplete) == 1);
}

}  // namespace
}  // namespace coltsfootfork

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "core/routing/fake_cluster.h"

// Checks for each reason that the entry increments its counter and sends the
// caller the matching problem.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeCluster;
using testing::kStreamTokens;

const RequestId kA("a");

// Checks the final problem sent to the caller of "a" and the reason's counter.
void CheckProblem(FakeCluster* cluster, Reason reason, bool not_run) {
  const auto& caller = cluster->Caller("a");
  BOOST_REQUIRE(caller.problem.has_value());
  BOOST_TEST(ReasonName(caller.problem->reason) == ReasonName(reason));
  BOOST_TEST(caller.problem->not_run == not_run);
  BOOST_TEST(caller.final_count == 1);
  BOOST_TEST(cluster->counts[reason] == 1);
}

void StartStream(FakeCluster* cluster) {
  cluster->Input(FakeCluster::Generation("a"));
  cluster->AgentOf("a").Start(kA);
  cluster->AgentOf("a").Step(kA);
  cluster->DeliverAll();
}

std::shared_ptr<Configuration> WithLimits(WorkspaceLimits limits) {
  auto configuration = FakeCluster::MakeConfiguration();
  configuration->workspaces[0].limits = limits;
  return configuration;
}

BOOST_AUTO_TEST_SUITE(EntryReasonsTest)

BOOST_AUTO_TEST_CASE(NotConfigured) {
  EntryCore entry(FakeCluster::DefaultOptions(), 1);
  const auto effects =
      entry.Handle(FakeCluster::Generation("a"), Time(seconds(1)));
  BOOST_REQUIRE(effects.size() == 2U);
  BOOST_TEST(
      (std::get<CountReason>(effects[0]).reason == Reason::kNotConfigured));
  BOOST_TEST(std::get<DeliverProblem>(effects[1]).not_run);
}

BOOST_AUTO_TEST_CASE(UnknownService) {
  FakeCluster cluster(1);
  CallerRequest call = FakeCluster::Generation("a");
  call.service = ServiceId("nothing");
  cluster.Input(call);
  CheckProblem(&cluster, Reason::kUnknownService, true);
}

BOOST_AUTO_TEST_CASE(RequestEndsAtOnceWhenNoServerIsKnown) {
  FakeCluster cluster(0);
  cluster.Input(FakeCluster::Generation("a"));
  CheckProblem(&cluster, Reason::kNoServer, true);
  BOOST_TEST(cluster.Caller("a").problem->retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(RequestWaitsForAKnownServerUntilTimeout) {
  FakeCluster cluster(1);
  cluster.LinkDown(ProcessId("agent0"));
  cluster.Input(FakeCluster::Generation("a"));
  BOOST_TEST(cluster.Caller("a").final_count == 0);
  cluster.Advance(milliseconds(500));
  CheckProblem(&cluster, Reason::kNoServer, true);
  cluster.Input(FakeCluster::Generation("c"));
  cluster.LinkUp(ProcessId("agent0"));
  BOOST_TEST(cluster.AgentIdOf("c") == ProcessId("agent0"));
}

BOOST_AUTO_TEST_CASE(DeadlineUnreachable) {
  FakeCluster cluster(1);
  ServerReport report = cluster.agents.at(ProcessId("agent0")).Report();
  report.deferrable_delay = seconds(40);
  cluster.SendFromAgent(ProcessId("agent0"), report);
  cluster.Input(FakeCluster::Generation("a"));
  CheckProblem(&cluster, Reason::kDeadlineUnreachable, true);
  BOOST_TEST(cluster.Caller("a").problem->retry_after.count() == 10000);
}

BOOST_AUTO_TEST_CASE(WorkspaceLimitsRefuseAsNotRun) {
  const auto check = [](WorkspaceLimits limits, Reason reason) {
    FakeCluster cluster(1);
    cluster.Input(ConfigurationInForce{WithLimits(limits)});
    cluster.Input(FakeCluster::Generation("first"));
    cluster.Input(FakeCluster::Generation("a"));
    CheckProblem(&cluster, reason, true);
    BOOST_TEST(cluster.Caller("a").problem->retry_after.count() > 0);
  };
  check({1, 0, 0}, Reason::kWorkspaceRequestLimit);
  check({0, 50, 0}, Reason::kWorkspaceTokenLimit);
  check({0, 0, 1}, Reason::kWorkspaceStreamLimit);
}

BOOST_AUTO_TEST_CASE(EndedStreamIsNotCountedAgainstTheLimit) {
  FakeCluster cluster(1);
  cluster.Input(ConfigurationInForce{WithLimits({0, 0, 1})});
  cluster.Input(FakeCluster::Generation("first"));
  cluster.AgentOf("first").Finish(RequestId("first"));
  cluster.DeliverAll();
  cluster.Input(FakeCluster::Generation("a"));
  BOOST_TEST(cluster.Caller("a").final_count == 0);
}

BOOST_AUTO_TEST_CASE(ClaimRefusals) {
  FakeCluster cluster(1);
  CallerRequest call = FakeCluster::PlainCall("first", "POST");
  call.idempotency_key = "key";
  cluster.Input(call);
  cluster.DeliverAll();
  call.request = kA;
  call.request_digest = "another";
  cluster.Input(call);
  cluster.DeliverAll();
  CheckProblem(&cluster, Reason::kIdempotencyKeyReused, true);
}

BOOST_AUTO_TEST_CASE(ClaimWithoutReplyTimesOutAndIsSettledLater) {
  FakeCluster cluster(1);
  CallerRequest call = FakeCluster::PlainCall("a", "POST");
  call.idempotency_key = "key";
  cluster.Input(call);
  cluster.Advance(seconds(3));
  CheckProblem(&cluster, Reason::kNoQuorum, true);
  BOOST_TEST(cluster.entry.open_requests() == 1U);
  // The claim was committed after the timeout.
  cluster.DeliverAll();
  BOOST_TEST(cluster.entry.open_requests() == 0U);
  BOOST_TEST(cluster.Runs("a") == 0);
  call.request = RequestId("b");
  cluster.Input(call);
  cluster.DeliverAll();
  cluster.RunAll(seconds(1));
  BOOST_TEST(cluster.Caller("b").answer.has_value());
}

BOOST_AUTO_TEST_CASE(KeyedCallRunsAtMostOnceWithoutARule) {
  FakeCluster cluster(2);
  CallerRequest call = FakeCluster::PlainCall("a", "GET");
  call.idempotency_key = "key";
  cluster.Input(call);
  cluster.DeliverAll();
  cluster.AgentOf("a").Start(kA);
  cluster.LinkDown(cluster.AgentIdOf("a"));
  CheckProblem(&cluster, Reason::kOutcomeUnknown, false);
}

BOOST_AUTO_TEST_CASE(RefusedRequestIsRetriedUntilNoServerIsLeft) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::PlainCall("a", "POST"));
  cluster.AgentOf("a").Refuse(kA, Reason::kQueueFull);
  cluster.DeliverAll();
  BOOST_TEST(cluster.counts[Reason::kRetriedBeforeFirstToken] == 1);
  BOOST_TEST(cluster.Caller("a").final_count == 0);
  cluster.AgentOf("a").Refuse(kA, Reason::kServerRefused);
  cluster.DeliverAll();
  CheckProblem(&cluster, Reason::kServerRefused, true);
  BOOST_TEST(cluster.Runs("a") == 0);
}

BOOST_AUTO_TEST_CASE(RefusalAfterAPossibleRunIsNotReportedAsNotRun) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::PlainCall("a", "GET"));
  cluster.AgentOf("a").Start(kA);
  cluster.AgentOf("a").Interrupt(kA, false);
  cluster.DeliverAll();
  BOOST_TEST(cluster.counts[Reason::kServerLost] == 1);
  cluster.AgentOf("a").Refuse(kA, Reason::kQueueFull);
  cluster.DeliverAll();
  CheckProblem(&cluster, Reason::kQueueFull, false);
}

BOOST_AUTO_TEST_CASE(TooLargeRequestIsNotRetried) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::Generation("a"));
  cluster.AgentOf("a").Refuse(kA, Reason::kRequestTooLarge);
  cluster.DeliverAll();
  CheckProblem(&cluster, Reason::kRequestTooLarge, true);
}

BOOST_AUTO_TEST_CASE(RetriesAfterAServerLossStayWithinTheBudget) {
  EntryOptions options = FakeCluster::DefaultOptions();
  options.retry.budget_limit = 5.0;
  options.retry.budget_per_second = 0.0;
  FakeCluster cluster(2, 1, options);
  for (int i = 0; i < 40; ++i) {
    cluster.Input(FakeCluster::Generation("r" + std::to_string(i)));
  }
  const ProcessId victim("agent0");
  const auto lost = cluster.agents.at(victim).Requests().size();
  BOOST_REQUIRE(lost > 5U);
  cluster.LinkDown(victim);
  BOOST_TEST(cluster.counts[Reason::kRetriedBeforeFirstToken] == 5);
  BOOST_TEST(cluster.counts[Reason::kRetryBudgetSpent] ==
             static_cast<int>(lost) - 5);
  // Ten successes add one retry to the budget.
  for (const RequestId& request :
       cluster.agents.at(ProcessId("agent1")).Requests()) {
    cluster.AgentOf(request.value()).Finish(request);
  }
  cluster.DeliverAll();
  cluster.LinkUp(victim);
  cluster.Input(FakeCluster::Generation("a"));
  cluster.LinkDown(cluster.AgentIdOf("a"));
  BOOST_TEST(cluster.counts[Reason::kRetriedBeforeFirstToken] == 6);
}

BOOST_AUTO_TEST_CASE(EachRankHasItsOwnRetryBudget) {
  EntryOptions options = FakeCluster::DefaultOptions();
  options.retry.budget_limit = 1.0;
  options.retry.budget_per_second = 0.0;
  FakeCluster cluster(2, 1, options);
  for (int i = 0; i < 20; ++i) {
    cluster.Input(FakeCluster::Generation("r" + std::to_string(i)));
  }
  cluster.Input(FakeCluster::PlainCall("z", "GET"));
  cluster.LinkDown(cluster.AgentIdOf("z"));
  BOOST_TEST(cluster.counts[Reason::kRetryBudgetSpent] > 0);
  BOOST_TEST(cluster.Caller("z").final_count == 0);
}

BOOST_AUTO_TEST_CASE(QueuedUrgentRequestsAreDispatchedFirst) {
  EntryOptions options = FakeCluster::DefaultOptions();
  options.retry.max_waiting = 1;
  FakeCluster cluster(1, 1, options);
  cluster.LinkDown(ProcessId("agent0"));
  cluster.Input(FakeCluster::Generation("early"));
  cluster.Input(FakeCluster::Generation("too many"));
  cluster.Input(FakeCluster::PlainCall("a", "GET"));
  BOOST_TEST(cluster.Caller("too many").final_count == 1);
  cluster.LinkUp(ProcessId("agent0"));
  BOOST_TEST(cluster.AgentOf("a").dispatched() ==
             (std::vector<RequestId>{kA, RequestId("early")}));
}

BOOST_AUTO_TEST_CASE(ExemptRetriesSpendNoBudget) {
  EntryOptions options = FakeCluster::DefaultOptions();
  options.retry.budget_limit = 0.0;
  for (const Reason reason : {Reason::kServerLost, Reason::kServerDraining,
                              Reason::kStopping, Reason::kReclaimMove}) {
    FakeCluster cluster(2, 1, options);
    cluster.Input(FakeCluster::Generation("a"));
    cluster.AgentOf("a").Refuse(kA, reason);
    cluster.DeliverAll();
    BOOST_TEST(cluster.counts[Reason::kRetriedBeforeFirstToken] == 1);
    BOOST_TEST(cluster.Caller("a").final_count == 0);
  }
}

BOOST_AUTO_TEST_CASE(ReclaimedServerMovesUnstartedRequests) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::Generation("a"));
  const ProcessId reclaimed = cluster.AgentIdOf("a");
  cluster.SendFromAgent(reclaimed,
                        RequestInterrupted{kA, 1, Reason::kReclaimMove, true});
  BOOST_TEST(cluster.counts[Reason::kReclaimMove] == 1);
  BOOST_TEST(cluster.AgentIdOf("a") != reclaimed);
  BOOST_TEST(cluster.AgentIdOf("a") != ProcessId("none"));
}

BOOST_AUTO_TEST_CASE(SilentAgentLosesUnstartedRequests) {
  FakeCluster cluster(2);
  cluster.Input(FakeCluster::Generation("a"));
  const ProcessId silent = cluster.AgentIdOf("a");
  for (int i = 0; i < 16; ++i) {
    for (const auto& [id, agent] : cluster.agents) {
      if (id != silent) cluster.SendFromAgent(id, agent.Report());
    }
    cluster.Advance(milliseconds(250));
  }
  BOOST_TEST(cluster.counts[Reason::kAgentLost] == 1);
  BOOST_TEST(cluster.AgentIdOf("a") != silent);
  BOOST_TEST(cluster.AgentIdOf("a") != ProcessId("none"));
}

BOOST_AUTO_TEST_CASE(PlainCallWithoutResponseEndsAsUnknown) {
  FakeCluster cluster(1);
  cluster.Input(FakeCluster::PlainCall("a", "POST"));
  cluster.AdvanceWithReports(seconds(59));
  BOOST_TEST(cluster.Caller("a").final_count == 0);
  cluster.AdvanceWithReports(seconds(2));
  CheckProblem(&cluster, Reason::kOutcomeUnknown, false);
  BOOST_TEST(cluster.counts[Reason::kStreamStalled] == 1);
}

BOOST_AUTO_TEST_CASE(StalledStreamIsResumedAndCompletes) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  cluster.AdvanceWithReports(seconds(34));
  BOOST_TEST(cluster.counts[Reason::kStreamStalled] == 0);
  cluster.AdvanceWithReports(seconds(2));
  BOOST_TEST(cluster.counts[Reason::kStreamStalled] == 1);
  BOOST_TEST(cluster.counts[Reason::kResumed] == 1);
  cluster.AgentOf("a").Finish(kA);
  cluster.DeliverAll();
  BOOST_TEST(cluster.Caller("a").tokens.size() == kStreamTokens);
  BOOST_TEST(cluster.Caller("a").end.has_value());
}

BOOST_AUTO_TEST_CASE(StreamThatStaysStalledEndsIncomplete) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  cluster.AdvanceWithReports(seconds(40));
  CheckProblem(&cluster, Reason::kStreamIncomplete, false);
  BOOST_TEST(cluster.AgentIdOf("a") == ProcessId("none"));
}

BOOST_AUTO_TEST_CASE(StreamOfASilentAgentEndsSooner) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  for (int i = 0; i < 32; ++i) cluster.Advance(milliseconds(250));
  CheckProblem(&cluster, Reason::kStreamIncomplete, false);
  BOOST_TEST(cluster.counts[Reason::kStreamStalled] == 1);
}

BOOST_AUTO_TEST_CASE(AgentThatNeverReconnectsEndsTheStreamIncomplete) {
  FakeCluster cluster(2);
  StartStream(&cluster);
  cluster.LinkDown(cluster.AgentIdOf("a"));
  BOOST_TEST(cluster.counts[Reason::kAgentLost] == 1);
  cluster.AdvanceWithReports(seconds(2));
  CheckProblem(&cluster, Reason::kStreamIncomplete, false);
}

BOOST_AUTO_TEST_CASE(EngineErrorEndsTheStream) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  RequestCompleted failed;
  failed.request = kA;
  failed.status = 500;
  cluster.SendFromAgent(ProcessId("agent0"), failed);
  CheckProblem(&cluster, Reason::kServerError, false);
}

BOOST_AUTO_TEST_CASE(UnexpectedFramesAreDroppedAndCounted) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  const ProcessId agent("agent0");
  cluster.SendFromAgent(agent, TokenFrame{kA, 1, 0, "again"});
  cluster.SendFromAgent(agent, TokenFrame{kA, 9, 1, "foreign"});
  cluster.SendFromAgent(agent, TokenFrame{kA, 1, 3, "early"});
  BOOST_TEST(cluster.Caller("a").tokens.size() == 1U);
  BOOST_TEST(cluster.counts[Reason::kDuplicateFrame] == 1);
  BOOST_TEST(cluster.counts[Reason::kStaleGeneration] == 1);
  BOOST_TEST(cluster.counts[Reason::kFrameGap] == 1);
  BOOST_TEST(cluster.counts[Reason::kResumed] == 1);
}

BOOST_AUTO_TEST_CASE(SlowCallerEndsOnlyItsOwnStream) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  cluster.Input(FakeCluster::Generation("other"));
  cluster.Input(CallerBacklog{kA, 65537});
  CheckProblem(&cluster, Reason::kSlowCaller, false);
  BOOST_TEST(cluster.AgentIdOf("a") == ProcessId("none"));
  cluster.AgentOf("other").Finish(RequestId("other"));
  cluster.DeliverAll();
  BOOST_TEST(cluster.Caller("other").end.has_value());
}

BOOST_AUTO_TEST_CASE(CallerThatReadsNothingTimesOut) {
  FakeCluster cluster(1);
  StartStream(&cluster);
  cluster.Input(CallerBacklog{kA, 100});
  cluster.AdvanceWithReports(seconds(9));
  cluster.Input(CallerBacklog{kA, 50});
  cluster.AdvanceWithReports(seconds(9));
  BOOST_TEST(cluster.Caller("a").final_count == 0);
  cluster.AdvanceWithReports(seconds(2));
  CheckProblem(&cluster, Reason::kSlowCaller, false);
}

BOOST_AUTO_TEST_CASE(DuplicateRequestIdIsCountedAndIgnored) {
  FakeCluster cluster(1);
  cluster.Input(FakeCluster::Generation("a"));
  cluster.Input(FakeCluster::Generation("a"));
  BOOST_TEST(cluster.counts[Reason::kBadRequest] == 1);
  BOOST_TEST(cluster.entry.open_requests() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork

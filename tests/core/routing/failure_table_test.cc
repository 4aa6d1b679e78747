#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>

#include "core/routing/fake_cluster.h"

// Checks every combination of fault site, fault time and kind of request.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallerView;
using testing::FakeAgent;
using testing::FakeCluster;

enum class FaultSite { kLink, kAgent, kServer, kQuorum, kCaller, kEntry };
enum class FaultTime { kBefore, kDuring, kAfter };
enum class CallKind { kIdempotent, kNonIdempotent, kKeyed, kStream };

constexpr std::array kFaultSites = {FaultSite::kLink,   FaultSite::kAgent,
                                    FaultSite::kServer, FaultSite::kQuorum,
                                    FaultSite::kCaller, FaultSite::kEntry};
constexpr std::array kFaultTimes = {FaultTime::kBefore, FaultTime::kDuring,
                                    FaultTime::kAfter};
constexpr std::array kCallKinds = {CallKind::kIdempotent,
                                   CallKind::kNonIdempotent, CallKind::kKeyed,
                                   CallKind::kStream};

enum class Outcome {
  kResponse,
  kNotRun,
  kUnknown,
  kIncomplete,
  // No response, because the caller or its entry is disconnected.
  kNothing,
};

// The result of a retry under the same key after the fault is repaired.
enum class RetryResult { kStored, kRunsAgain, kUnknown, kInProgress };

struct FailureCase {
  FaultSite site;
  FaultTime time;
  Outcome idempotent;
  Outcome non_idempotent;
  Outcome keyed;
  Outcome stream;
  RetryResult retry_result;

  Outcome OutcomeOf(CallKind kind) const {
    switch (kind) {
      case CallKind::kIdempotent:
        return idempotent;
      case CallKind::kNonIdempotent:
        return non_idempotent;
      case CallKind::kKeyed:
        return keyed;
      default:
        return stream;
    }
  }
};

using O = Outcome;
constexpr std::array kCases = {
    FailureCase{FaultSite::kLink, FaultTime::kBefore, O::kResponse, O::kUnknown,
                O::kUnknown, O::kResponse, RetryResult::kUnknown},
    FailureCase{FaultSite::kLink, FaultTime::kDuring, O::kResponse, O::kUnknown,
                O::kUnknown, O::kResponse, RetryResult::kUnknown},
    FailureCase{FaultSite::kLink, FaultTime::kAfter, O::kResponse, O::kUnknown,
                O::kUnknown, O::kResponse, RetryResult::kUnknown},
    FailureCase{FaultSite::kAgent, FaultTime::kBefore, O::kResponse,
                O::kUnknown, O::kUnknown, O::kResponse, RetryResult::kUnknown},
    FailureCase{FaultSite::kAgent, FaultTime::kDuring, O::kResponse,
                O::kUnknown, O::kUnknown, O::kIncomplete,
                RetryResult::kUnknown},
    FailureCase{FaultSite::kAgent, FaultTime::kAfter, O::kResponse, O::kUnknown,
                O::kUnknown, O::kIncomplete, RetryResult::kUnknown},
    FailureCase{FaultSite::kServer, FaultTime::kBefore, O::kResponse,
                O::kResponse, O::kResponse, O::kResponse, RetryResult::kStored},
    FailureCase{FaultSite::kServer, FaultTime::kDuring, O::kResponse,
                O::kUnknown, O::kUnknown, O::kIncomplete,
                RetryResult::kUnknown},
    FailureCase{FaultSite::kServer, FaultTime::kAfter, O::kResponse,
                O::kResponse, O::kResponse, O::kResponse, RetryResult::kStored},
    FailureCase{FaultSite::kQuorum, FaultTime::kBefore, O::kResponse,
                O::kResponse, O::kNotRun, O::kResponse,
                RetryResult::kRunsAgain},
    FailureCase{FaultSite::kQuorum, FaultTime::kDuring, O::kResponse,
                O::kResponse, O::kResponse, O::kResponse, RetryResult::kStored},
    FailureCase{FaultSite::kQuorum, FaultTime::kAfter, O::kResponse,
                O::kResponse, O::kResponse, O::kResponse,
                RetryResult::kInProgress},
    FailureCase{FaultSite::kCaller, FaultTime::kBefore, O::kNothing,
                O::kNothing, O::kNothing, O::kNothing, RetryResult::kStored},
    FailureCase{FaultSite::kCaller, FaultTime::kDuring, O::kNothing,
                O::kNothing, O::kNothing, O::kNothing, RetryResult::kStored},
    FailureCase{FaultSite::kCaller, FaultTime::kAfter, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, RetryResult::kStored},
    FailureCase{FaultSite::kEntry, FaultTime::kBefore, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, RetryResult::kInProgress},
    FailureCase{FaultSite::kEntry, FaultTime::kDuring, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, RetryResult::kInProgress},
    FailureCase{FaultSite::kEntry, FaultTime::kAfter, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, RetryResult::kInProgress},
};

constexpr char kName[] = "a";
constexpr char kRetryName[] = "b";

CallerRequest MakeRequest(CallKind kind, const std::string& name) {
  if (kind == CallKind::kStream) return FakeCluster::Generation(name);
  const bool get = kind == CallKind::kIdempotent;
  CallerRequest call = FakeCluster::PlainCall(name, get ? "GET" : "POST");
  if (kind == CallKind::kKeyed) call.idempotency_key = "key";
  return call;
}

// Runs the request until the time at which the fault is injected.
void RunUntil(FakeCluster* cluster, FaultTime time) {
  const RequestId request(kName);
  FakeAgent& agent = cluster->AgentOf(kName);
  if (time == FaultTime::kBefore) return;
  agent.Start(request);
  if (agent.KindOf(request) == RequestKind::kGeneration) {
    agent.Step(request);
    cluster->DeliverAll();
  }
  if (time == FaultTime::kAfter) agent.Finish(request);
}

void InjectFault(FakeCluster* cluster, FaultSite site,
                 const ProcessId& victim) {
  switch (site) {
    case FaultSite::kLink:
      cluster->LinkDown(victim);
      cluster->AdvanceWithReports(milliseconds(500));
      cluster->LinkUp(victim);
      return;
    case FaultSite::kAgent:
      cluster->LinkDown(victim);
      cluster->agents.at(victim).Restart();
      cluster->AdvanceWithReports(milliseconds(500));
      cluster->LinkUp(victim);
      return;
    case FaultSite::kServer:
      cluster->agents.at(victim).RestartServer();
      return;
    case FaultSite::kQuorum:
      cluster->claims.quorum = false;
      return;
    case FaultSite::kCaller:
      cluster->Input(CallerDisconnected{RequestId(kName)});
      return;
    case FaultSite::kEntry:
      cluster->ReplaceEntry();
      return;
  }
}

// Restores the quorum: before the end of the run if it was lost during the run,
// otherwise after the claim's settling has failed.
void RestoreQuorum(FakeCluster* cluster, FaultTime time) {
  if (time != FaultTime::kDuring) cluster->DeliverAll();
  cluster->claims.quorum = true;
}

Outcome OutcomeFor(const CallerView& caller) {
  if (caller.end.has_value() || caller.answer.has_value()) return O::kResponse;
  if (!caller.problem.has_value()) return O::kNothing;
  if (caller.problem->not_run) return O::kNotRun;
  return caller.problem->reason == Reason::kStreamIncomplete ? O::kIncomplete
                                                             : O::kUnknown;
}

void CheckRetry(FakeCluster* cluster, RetryResult expected) {
  const int runs_before = cluster->Runs(kName);
  cluster->Input(MakeRequest(CallKind::kKeyed, kRetryName));
  cluster->DeliverAll();
  cluster->RunAll(seconds(3));
  const CallerView& caller = cluster->Caller(kRetryName);
  BOOST_TEST(caller.final_count == 1);
  BOOST_TEST(runs_before + cluster->Runs(kRetryName) <= 1);
  switch (expected) {
    case RetryResult::kStored:
      BOOST_REQUIRE(caller.answer.has_value());
      BOOST_TEST(caller.answer->body == "answer to a");
      return;
    case RetryResult::kRunsAgain:
      BOOST_REQUIRE(caller.answer.has_value());
      BOOST_TEST(caller.answer->body == "answer to b");
      return;
    case RetryResult::kUnknown:
    case RetryResult::kInProgress:
      BOOST_REQUIRE(caller.problem.has_value());
      BOOST_TEST(!caller.problem->not_run);
      BOOST_TEST((caller.problem->reason == (expected == RetryResult::kUnknown
                                                 ? Reason::kClaimOutcomeUnknown
                                                 : Reason::kClaimInProgress)));
      return;
  }
}

void CheckCase(const FailureCase& failure, CallKind kind) {
  FakeCluster cluster(2);
  const bool quorum_lost_first =
      failure.site == FaultSite::kQuorum && failure.time == FaultTime::kBefore;
  if (quorum_lost_first) cluster.claims.quorum = false;
  cluster.Input(MakeRequest(kind, kName));
  cluster.DeliverAll();
  if (!quorum_lost_first) {
    const ProcessId victim = cluster.AgentIdOf(kName);
    RunUntil(&cluster, failure.time);
    InjectFault(&cluster, failure.site, victim);
  }
  if (failure.site == FaultSite::kQuorum) RestoreQuorum(&cluster, failure.time);
  cluster.RunAll(seconds(8));

  const CallerView& caller = cluster.Caller(kName);
  const Outcome expected = failure.OutcomeOf(kind);
  BOOST_TEST((OutcomeFor(caller) == expected));
  BOOST_TEST(caller.final_count == (expected == O::kNothing ? 0 : 1));
  BOOST_TEST(caller.tokens_after_final == 0);
  testing::CheckTokens(RequestId(kName), caller);
  const int runs = cluster.Runs(kName);
  if (expected == O::kNotRun) BOOST_TEST(runs == 0);
  if (expected == O::kResponse) BOOST_TEST(runs >= 1);
  const bool at_most_once =
      kind == CallKind::kNonIdempotent || kind == CallKind::kKeyed;
  if (at_most_once) BOOST_TEST(runs <= 1);
  BOOST_TEST(cluster.entry.open_requests() == 0U);
  if (kind == CallKind::kKeyed) CheckRetry(&cluster, failure.retry_result);
}

BOOST_AUTO_TEST_SUITE(FailureTableTest)

BOOST_AUTO_TEST_CASE(TableListsEveryCaseOnce) {
  std::set<std::pair<FaultSite, FaultTime>> named;
  for (const FailureCase& failure : kCases) {
    BOOST_TEST(named.emplace(failure.site, failure.time).second);
  }
  BOOST_TEST(named.size() == kFaultSites.size() * kFaultTimes.size());
}

BOOST_AUTO_TEST_CASE(EveryCaseHasTheListedOutcome) {
  for (const FailureCase& failure : kCases) {
    for (const CallKind kind : kCallKinds) {
      BOOST_TEST_CONTEXT("where " << static_cast<int>(failure.site) << " when "
                                  << static_cast<int>(failure.time) << " kind "
                                  << static_cast<int>(kind)) {
        CheckCase(failure, kind);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork

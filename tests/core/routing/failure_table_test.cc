#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>

#include "core/routing/fake_cluster.h"

// Every case of where a failure hits, when, and what kind of request it hits.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallerView;
using testing::FakeAgent;
using testing::FakeCluster;

enum class Where { kLink, kAgent, kServer, kQuorum, kCaller, kEntry };
enum class When { kBefore, kDuring, kAfter };
enum class Kind { kIdempotent, kNonIdempotent, kKeyed, kStream };

constexpr std::array kWheres = {Where::kLink,   Where::kAgent,  Where::kServer,
                                Where::kQuorum, Where::kCaller, Where::kEntry};
constexpr std::array kWhens = {When::kBefore, When::kDuring, When::kAfter};
constexpr std::array kKinds = {Kind::kIdempotent, Kind::kNonIdempotent,
                               Kind::kKeyed, Kind::kStream};

enum class Outcome {
  kAnswered,
  kNotRun,
  kUnknown,
  kIncomplete,
  // The caller or its connection is gone.
  kNothing,
};

// What a resend under the same key gets after everything is well again.
enum class Resend { kStored, kRunsAnew, kUnknown, kInProgress };

struct FailureCase {
  Where where;
  When when;
  Outcome idempotent;
  Outcome non_idempotent;
  Outcome keyed;
  Outcome stream;
  Resend resend;

  Outcome OutcomeOf(Kind kind) const {
    switch (kind) {
      case Kind::kIdempotent:
        return idempotent;
      case Kind::kNonIdempotent:
        return non_idempotent;
      case Kind::kKeyed:
        return keyed;
      default:
        return stream;
    }
  }
};

using O = Outcome;
constexpr std::array kCases = {
    FailureCase{Where::kLink, When::kBefore, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kAnswered, Resend::kUnknown},
    FailureCase{Where::kLink, When::kDuring, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kAnswered, Resend::kUnknown},
    FailureCase{Where::kLink, When::kAfter, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kAnswered, Resend::kUnknown},
    FailureCase{Where::kAgent, When::kBefore, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kAnswered, Resend::kUnknown},
    FailureCase{Where::kAgent, When::kDuring, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kIncomplete, Resend::kUnknown},
    FailureCase{Where::kAgent, When::kAfter, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kIncomplete, Resend::kUnknown},
    FailureCase{Where::kServer, When::kBefore, O::kAnswered, O::kAnswered,
                O::kAnswered, O::kAnswered, Resend::kStored},
    FailureCase{Where::kServer, When::kDuring, O::kAnswered, O::kUnknown,
                O::kUnknown, O::kIncomplete, Resend::kUnknown},
    FailureCase{Where::kServer, When::kAfter, O::kAnswered, O::kAnswered,
                O::kAnswered, O::kAnswered, Resend::kStored},
    FailureCase{Where::kQuorum, When::kBefore, O::kAnswered, O::kAnswered,
                O::kNotRun, O::kAnswered, Resend::kRunsAnew},
    FailureCase{Where::kQuorum, When::kDuring, O::kAnswered, O::kAnswered,
                O::kAnswered, O::kAnswered, Resend::kStored},
    FailureCase{Where::kQuorum, When::kAfter, O::kAnswered, O::kAnswered,
                O::kAnswered, O::kAnswered, Resend::kInProgress},
    FailureCase{Where::kCaller, When::kBefore, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, Resend::kStored},
    FailureCase{Where::kCaller, When::kDuring, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, Resend::kStored},
    FailureCase{Where::kCaller, When::kAfter, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, Resend::kStored},
    FailureCase{Where::kEntry, When::kBefore, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, Resend::kInProgress},
    FailureCase{Where::kEntry, When::kDuring, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, Resend::kInProgress},
    FailureCase{Where::kEntry, When::kAfter, O::kNothing, O::kNothing,
                O::kNothing, O::kNothing, Resend::kInProgress},
};

constexpr char kName[] = "a";
constexpr char kResendName[] = "b";

CallerRequest MakeRequest(Kind kind, const std::string& name) {
  if (kind == Kind::kStream) return FakeCluster::Generation(name);
  const bool get = kind == Kind::kIdempotent;
  CallerRequest call = FakeCluster::PlainCall(name, get ? "GET" : "POST");
  if (kind == Kind::kKeyed) call.idempotency_key = "key";
  return call;
}

// Brings the request to the moment at which the failure hits.
void RunUntil(FakeCluster* cluster, When when) {
  const RequestId request(kName);
  FakeAgent& agent = cluster->AgentOf(kName);
  if (when == When::kBefore) return;
  agent.Start(request);
  if (agent.KindOf(request) == RequestKind::kGeneration) {
    agent.Step(request);
    cluster->DeliverAll();
  }
  if (when == When::kAfter) agent.Finish(request);
}

void Hit(FakeCluster* cluster, Where where, const ProcessId& victim) {
  switch (where) {
    case Where::kLink:
      cluster->LinkDown(victim);
      cluster->AdvanceWithReports(milliseconds(500));
      cluster->LinkUp(victim);
      return;
    case Where::kAgent:
      cluster->LinkDown(victim);
      cluster->agents.at(victim).Restart();
      cluster->AdvanceWithReports(milliseconds(500));
      cluster->LinkUp(victim);
      return;
    case Where::kServer:
      cluster->agents.at(victim).RestartServer();
      return;
    case Where::kQuorum:
      cluster->claims.quorum = false;
      return;
    case Where::kCaller:
      cluster->Input(CallerDisconnected{RequestId(kName)});
      return;
    case Where::kEntry:
      cluster->ReplaceEntry();
      return;
  }
}

// A quorum lost during the run is back before its end; one lost after the run
// is missed by the settling.
void HealQuorum(FakeCluster* cluster, When when) {
  if (when != When::kDuring) cluster->DeliverAll();
  cluster->claims.quorum = true;
}

Outcome OutcomeFor(const CallerView& caller) {
  if (caller.end.has_value() || caller.answer.has_value()) return O::kAnswered;
  if (!caller.problem.has_value()) return O::kNothing;
  if (caller.problem->not_run) return O::kNotRun;
  return caller.problem->reason == Reason::kStreamIncomplete ? O::kIncomplete
                                                             : O::kUnknown;
}

void CheckResend(FakeCluster* cluster, Resend expected) {
  const int runs_before = cluster->Runs(kName);
  cluster->Input(MakeRequest(Kind::kKeyed, kResendName));
  cluster->DeliverAll();
  cluster->RunAll(seconds(3));
  const CallerView& caller = cluster->Caller(kResendName);
  BOOST_TEST(caller.final_count == 1);
  BOOST_TEST(runs_before + cluster->Runs(kResendName) <= 1);
  switch (expected) {
    case Resend::kStored:
      BOOST_REQUIRE(caller.answer.has_value());
      BOOST_TEST(caller.answer->body == "answer to a");
      return;
    case Resend::kRunsAnew:
      BOOST_REQUIRE(caller.answer.has_value());
      BOOST_TEST(caller.answer->body == "answer to b");
      return;
    case Resend::kUnknown:
    case Resend::kInProgress:
      BOOST_REQUIRE(caller.problem.has_value());
      BOOST_TEST(!caller.problem->not_run);
      BOOST_TEST((caller.problem->reason == (expected == Resend::kUnknown
                                                 ? Reason::kClaimOutcomeUnknown
                                                 : Reason::kClaimInProgress)));
      return;
  }
}

void CheckCase(const FailureCase& failure, Kind kind) {
  FakeCluster cluster(2);
  const bool early =
      failure.where == Where::kQuorum && failure.when == When::kBefore;
  if (early) cluster.claims.quorum = false;
  cluster.Input(MakeRequest(kind, kName));
  cluster.DeliverAll();
  if (!early) {
    const ProcessId victim = cluster.AgentIdOf(kName);
    RunUntil(&cluster, failure.when);
    Hit(&cluster, failure.where, victim);
  }
  if (failure.where == Where::kQuorum) HealQuorum(&cluster, failure.when);
  cluster.RunAll(seconds(8));

  const CallerView& caller = cluster.Caller(kName);
  const Outcome expected = failure.OutcomeOf(kind);
  BOOST_TEST((OutcomeFor(caller) == expected));
  BOOST_TEST(caller.final_count == (expected == O::kNothing ? 0 : 1));
  BOOST_TEST(caller.tokens_after_final == 0);
  testing::CheckTokens(RequestId(kName), caller);
  const int runs = cluster.Runs(kName);
  if (expected == O::kNotRun) BOOST_TEST(runs == 0);
  if (expected == O::kAnswered) BOOST_TEST(runs >= 1);
  const bool once = kind == Kind::kNonIdempotent || kind == Kind::kKeyed;
  if (once) BOOST_TEST(runs <= 1);
  BOOST_TEST(cluster.entry.open_requests() == 0U);
  if (kind == Kind::kKeyed) CheckResend(&cluster, failure.resend);
}

BOOST_AUTO_TEST_SUITE(FailureTableTest)

BOOST_AUTO_TEST_CASE(TableNamesEveryCaseOnce) {
  std::set<std::pair<Where, When>> named;
  for (const FailureCase& failure : kCases) {
    BOOST_TEST(named.emplace(failure.where, failure.when).second);
  }
  BOOST_TEST(named.size() == kWheres.size() * kWhens.size());
}

BOOST_AUTO_TEST_CASE(EveryCaseEndsAsStated) {
  for (const FailureCase& failure : kCases) {
    for (const Kind kind : kKinds) {
      BOOST_TEST_CONTEXT("where " << static_cast<int>(failure.where) << " when "
                                  << static_cast<int>(failure.when) << " kind "
                                  << static_cast<int>(kind)) {
        CheckCase(failure, kind);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork

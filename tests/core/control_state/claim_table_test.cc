#include "coltsfootfork/core/control_state/claim_table.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace coltsfootfork {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr milliseconds kNow = hours(1000);

ClaimBegin BeginOf(const std::string& request, const std::string& key = "key",
                   const std::string& workspace = "ws") {
  return {{WorkspaceId(workspace), key}, "digest", RequestId(request)};
}

ClaimSettle SettleOf(const std::string& request, ClaimOutcome outcome,
                     const std::string& body = "") {
  return {BeginOf(request).claim,
          RequestId(request),
          outcome,
          {200, "text/plain", body}};
}

ClaimVerdict BeginVerdict(ClaimTable& table, const ClaimBegin& begin,
                          milliseconds now = kNow) {
  return table.Begin(begin, now).verdict;
}

BOOST_AUTO_TEST_CASE(OneOfTwoRequestsClaimsTheKey) {
  ClaimTable table;
  BOOST_TEST((BeginVerdict(table, BeginOf("a")) == ClaimVerdict::kGranted));
  BOOST_TEST((BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kInProgress));
  // The holder retries after its reply was lost.
  BOOST_TEST((BeginVerdict(table, BeginOf("a")) == ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(ARetryOfASettledRequestReceivesTheStoredResponse) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a"));
  BOOST_TEST(
      table.Settle(SettleOf("a", ClaimOutcome::kDone, "sold"), kNow).committed);
  const ClaimBeginReply reply = table.Begin(BeginOf("b"), kNow);
  BOOST_TEST((reply.verdict == ClaimVerdict::kDone));
  BOOST_TEST(reply.answer.body == "sold");
  // A request that ran stays done, even if a late message reports otherwise.
  table.Settle(SettleOf("a", ClaimOutcome::kNotRun), kNow);
  BOOST_TEST((BeginVerdict(table, BeginOf("c")) == ClaimVerdict::kDone));
}

BOOST_AUTO_TEST_CASE(OnlyTheHolderSettlesItsClaim) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a"));
  BOOST_TEST(
      !table.Settle(SettleOf("b", ClaimOutcome::kNotRun), kNow).committed);
  BOOST_TEST((BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kInProgress));
  ClaimTable empty;
  BOOST_TEST(!empty.Settle(SettleOf("a", ClaimOutcome::kDone), kNow).committed);
}

BOOST_AUTO_TEST_CASE(AnotherRequestMayClaimTheKeyOfOneThatDidNotRun) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a"));
  table.Settle(SettleOf("a", ClaimOutcome::kNotRun), kNow);
  // A delayed duplicate of the first message does not claim the key.
  BOOST_TEST(
      (BeginVerdict(table, BeginOf("a")) == ClaimVerdict::kOutcomeUnknown));
  BOOST_TEST((BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kGranted));
  BOOST_TEST(
      !table.Settle(SettleOf("a", ClaimOutcome::kNotRun), kNow).committed);
  BOOST_TEST((BeginVerdict(table, BeginOf("c")) == ClaimVerdict::kInProgress));
}

BOOST_AUTO_TEST_CASE(AnUnknownOutcomeStaysUntilTheHolderSettlesTheClaim) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a"));
  table.Settle(SettleOf("a", ClaimOutcome::kUnknown), kNow);
  BOOST_TEST(
      (BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kOutcomeUnknown));
  table.Settle(SettleOf("a", ClaimOutcome::kDone, "late"), kNow);
  BOOST_TEST((BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kDone));
}

BOOST_AUTO_TEST_CASE(AnUnsettledClaimIsNeverGrantedAgain) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a"));
  BOOST_TEST((BeginVerdict(table, BeginOf("b"), kNow + minutes(14)) ==
              ClaimVerdict::kInProgress));
  BOOST_TEST((BeginVerdict(table, BeginOf("b"), kNow + minutes(15)) ==
              ClaimVerdict::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(AReusedKeyWithAnotherDigestIsRefusedInEveryState) {
  ClaimTable table;
  ClaimBegin reused = BeginOf("b");
  reused.request_digest = "another";
  BeginVerdict(table, BeginOf("a"));
  BOOST_TEST((BeginVerdict(table, reused) == ClaimVerdict::kKeyReused));
  table.Settle(SettleOf("a", ClaimOutcome::kNotRun), kNow);
  BOOST_TEST((BeginVerdict(table, reused) == ClaimVerdict::kKeyReused));
}

BOOST_AUTO_TEST_CASE(WorkspacesHaveSeparateKeySpaces) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a", "key", "one"));
  BOOST_TEST((BeginVerdict(table, BeginOf("b", "key", "two")) ==
              ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(ClaimsExpireAfterTheRetention) {
  ClaimTable table;
  BeginVerdict(table, BeginOf("a"));
  table.Settle(SettleOf("a", ClaimOutcome::kDone), kNow + minutes(1));
  table.Expire(hours(1), kNow + hours(1));
  BOOST_TEST(table.size() == 1U);
  table.Expire(hours(1), kNow + hours(1) + minutes(1));
  BOOST_TEST(table.size() == 0U);
  BOOST_TEST((BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(OneWorkspaceCannotFillTheTable) {
  ClaimLimits limits;
  limits.max_claims = 100;
  ClaimTable table(limits);
  std::size_t granted = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string name = std::to_string(i);
    const auto verdict = BeginVerdict(table, BeginOf(name, name, "large"));
    if (verdict == ClaimVerdict::kGranted) ++granted;
  }
  BOOST_TEST(granted == 50U);
  const auto refused = table.Begin(BeginOf("x", "x", "large"), kNow);
  BOOST_TEST((refused.verdict == ClaimVerdict::kNoQuorum));
  BOOST_TEST(!refused.problem.empty());
  BOOST_TEST((BeginVerdict(table, BeginOf("y", "y", "small")) ==
              ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(AnOversizedResponseLeavesTheOutcomeUnknown) {
  ClaimLimits limits;
  limits.max_response_bytes = 100;
  ClaimTable table(limits);
  BeginVerdict(table, BeginOf("a"));
  BOOST_TEST(
      table
          .Settle(SettleOf("a", ClaimOutcome::kDone, std::string(100, 'x')),
                  kNow)
          .committed);
  BOOST_TEST(
      (BeginVerdict(table, BeginOf("b")) == ClaimVerdict::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(ASnapshotPreservesEveryClaimState) {
  ClaimTable table;
  for (const char* name : {"a", "b", "c", "d"}) {
    BeginVerdict(table, BeginOf(name, name));
  }
  const auto settle = [&](const char* name, ClaimOutcome outcome) {
    ClaimSettle message = SettleOf(name, outcome, "answer");
    message.claim = BeginOf(name, name).claim;
    table.Settle(message, kNow);
  };
  settle("b", ClaimOutcome::kDone);
  settle("c", ClaimOutcome::kUnknown);
  settle("d", ClaimOutcome::kNotRun);
  ClaimTable restored;
  BOOST_TEST_REQUIRE(restored.Restore(table.Snapshot()));
  BOOST_TEST(restored.Snapshot() == table.Snapshot());
  BOOST_TEST(
      (BeginVerdict(restored, BeginOf("x", "a")) == ClaimVerdict::kInProgress));
  BOOST_TEST(
      (BeginVerdict(restored, BeginOf("x", "b")) == ClaimVerdict::kDone));
  BOOST_TEST((BeginVerdict(restored, BeginOf("x", "c")) ==
              ClaimVerdict::kOutcomeUnknown));
  BOOST_TEST(
      (BeginVerdict(restored, BeginOf("x", "d")) == ClaimVerdict::kGranted));
  restored.Expire(hours(1), kNow + hours(2));
  BOOST_TEST(restored.size() == 0U);
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/retry_policy.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

AttemptHistory History() {
  AttemptHistory history;
  history.max_attempts = 2;
  history.attempts = 1;
  history.deadline = kNow + std::chrono::seconds(1);
  history.budget_allows = true;
  return history;
}

template <typename Decision>
bool Is(const RetryDecision& decision) {
  return std::holds_alternative<Decision>(decision);
}

std::uint32_t StatusOf(const RetryDecision& decision) {
  return std::get<RespondToCaller>(decision).status;
}

BOOST_AUTO_TEST_CASE(UnsentCallIsRetriedBeyondAttemptsAndBudget) {
  AttemptHistory history = History();
  history.attempts = 0;
  history.max_attempts = 1;
  history.budget_allows = false;
  BOOST_TEST(Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kNeverSent, kNow)));
}

BOOST_AUTO_TEST_CASE(CallThatMayHaveRunIsRetriedOnlyIfSafe) {
  AttemptHistory history = History();
  history.may_have_run = true;
  const RetryDecision decision =
      DecideRetry(history, AttemptResult::kIncompleteResponse, kNow);
  BOOST_REQUIRE(Is<RespondToCaller>(decision));
  // 502 leaves open whether the call ran; 503 would state that it did not.
  BOOST_TEST(StatusOf(decision) == 502U);
  BOOST_TEST(!std::get<RespondToCaller>(decision).retry_after.has_value());
  history.safe_to_retry = true;
  BOOST_TEST(Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kIncompleteResponse, kNow)));
}

BOOST_AUTO_TEST_CASE(CallThatMayHaveRunIsNeverReportedAsNotRun) {
  for (const AttemptResult result :
       {AttemptResult::kNeverSent, AttemptResult::kNotRun,
        AttemptResult::kIncompleteResponse}) {
    AttemptHistory history = History();
    history.may_have_run = true;
    history.untried_server_available = false;
    const RetryDecision decision = DecideRetry(history, result, kNow);
    BOOST_REQUIRE(Is<RespondToCaller>(decision));
    BOOST_TEST(StatusOf(decision) == 502U);
  }
}

BOOST_AUTO_TEST_CASE(RejectedCallGetsARetryAfter) {
  AttemptHistory history = History();
  history.max_attempts = 1;
  const RetryDecision decision =
      DecideRetry(history, AttemptResult::kNotRun, kNow);
  BOOST_REQUIRE(Is<RespondToCaller>(decision));
  BOOST_TEST(StatusOf(decision) == 503U);
  BOOST_TEST(std::get<RespondToCaller>(decision).retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(AttemptsAndBudgetLimitRetries) {
  AttemptHistory history = History();
  history.safe_to_retry = true;
  history.budget_allows = false;
  BOOST_TEST(!Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kServerError, kNow)));
  history.budget_allows = true;
  history.attempts = history.max_attempts;
  BOOST_TEST(Is<ForwardServerError>(
      DecideRetry(history, AttemptResult::kServerError, kNow)));
}

BOOST_AUTO_TEST_CASE(StartedResponseIsAborted) {
  AttemptHistory history = History();
  history.may_have_run = true;
  history.response_started = true;
  BOOST_TEST(Is<AbortResponse>(
      DecideRetry(history, AttemptResult::kIncompleteResponse, kNow)));
}

BOOST_AUTO_TEST_CASE(NoRetryAfterTheDeadline) {
  AttemptHistory history = History();
  history.safe_to_retry = true;
  history.deadline = kNow;
  BOOST_TEST(!Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kNotRun, kNow)));
}

}  // namespace
}  // namespace coltsfootfork

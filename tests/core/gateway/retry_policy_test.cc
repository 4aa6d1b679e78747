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

template <typename Step>
bool Is(const RetryDecision& decision) {
  return std::holds_alternative<Step>(decision);
}

std::uint32_t StatusOf(const RetryDecision& decision) {
  return std::get<RespondToCaller>(decision).status;
}

BOOST_AUTO_TEST_CASE(WhatReachedNoServerIsSentAgainWithoutAttemptOrBudget) {
  AttemptHistory history = History();
  history.attempts = 0;
  history.max_attempts = 1;
  history.budget_allows = false;
  BOOST_TEST(Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kNeverSent, kNow)));
}

BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsNotSentAgainUnlessItMayRepeat) {
  AttemptHistory history = History();
  history.may_have_run = true;
  const RetryDecision decision =
      DecideRetry(history, AttemptResult::kIncompleteResponse, kNow);
  BOOST_REQUIRE(Is<RespondToCaller>(decision));
  // 502 promises nothing; 503 would promise that it has not run.
  BOOST_TEST(StatusOf(decision) == 502U);
  BOOST_TEST(!std::get<RespondToCaller>(decision).retry_after.has_value());
  history.safe_to_retry = true;
  BOOST_TEST(Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kIncompleteResponse, kNow)));
}

BOOST_AUTO_TEST_CASE(ACallThatRanOnceIsNeverSaidNotToHaveRun) {
  for (const AttemptResult end :
       {AttemptResult::kNeverSent, AttemptResult::kNotRun,
        AttemptResult::kIncompleteResponse}) {
    AttemptHistory history = History();
    history.may_have_run = true;
    history.untried_server_available = false;
    const RetryDecision decision = DecideRetry(history, end, kNow);
    BOOST_REQUIRE(Is<RespondToCaller>(decision));
    BOOST_TEST(StatusOf(decision) == 502U);
  }
}

BOOST_AUTO_TEST_CASE(ATurnedDownCallIsRefusedWithATimeToComeBack) {
  AttemptHistory history = History();
  history.max_attempts = 1;
  const RetryDecision decision =
      DecideRetry(history, AttemptResult::kNotRun, kNow);
  BOOST_REQUIRE(Is<RespondToCaller>(decision));
  BOOST_TEST(StatusOf(decision) == 503U);
  BOOST_TEST(std::get<RespondToCaller>(decision).retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(AttemptsAndBudgetBoundRepeats) {
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

BOOST_AUTO_TEST_CASE(AnAnswerThatHasBegunIsBrokenOffRatherThanEndedFalsely) {
  AttemptHistory history = History();
  history.may_have_run = true;
  history.response_started = true;
  BOOST_TEST(Is<AbortResponse>(
      DecideRetry(history, AttemptResult::kIncompleteResponse, kNow)));
}

BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheDeadline) {
  AttemptHistory history = History();
  history.safe_to_retry = true;
  history.deadline = kNow;
  BOOST_TEST(!Is<RetryOnAnotherServer>(
      DecideRetry(history, AttemptResult::kNotRun, kNow)));
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/retry_policy.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

CallFacts Facts() {
  CallFacts facts;
  facts.max_attempts = 2;
  facts.sends = 1;
  facts.deadline = kNow + std::chrono::seconds(1);
  facts.budget_allows = true;
  return facts;
}

template <typename Step>
bool Is(const RetryDecision& decision) {
  return std::holds_alternative<Step>(decision);
}

std::uint32_t StatusOf(const RetryDecision& decision) {
  return std::get<RespondToCaller>(decision).status;
}

BOOST_AUTO_TEST_CASE(WhatReachedNoServerIsSentAgainWithoutAttemptOrBudget) {
  CallFacts facts = Facts();
  facts.sends = 0;
  facts.max_attempts = 1;
  facts.budget_allows = false;
  BOOST_TEST(Is<RetryOnAnotherServer>(
      DecideRetry(facts, AttemptResult::kNeverSent, kNow)));
}

BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsNotSentAgainUnlessItMayRepeat) {
  CallFacts facts = Facts();
  facts.may_have_run = true;
  const RetryDecision decision =
      DecideRetry(facts, AttemptResult::kBroken, kNow);
  BOOST_REQUIRE(Is<RespondToCaller>(decision));
  // 502 promises nothing; 503 would promise that it has not run.
  BOOST_TEST(StatusOf(decision) == 502U);
  BOOST_TEST(!std::get<RespondToCaller>(decision).retry_after.has_value());
  facts.may_repeat = true;
  BOOST_TEST(Is<RetryOnAnotherServer>(
      DecideRetry(facts, AttemptResult::kBroken, kNow)));
}

BOOST_AUTO_TEST_CASE(ACallThatRanOnceIsNeverSaidNotToHaveRun) {
  for (const AttemptResult end :
       {AttemptResult::kNeverSent, AttemptResult::kNotRun,
        AttemptResult::kBroken}) {
    CallFacts facts = Facts();
    facts.may_have_run = true;
    facts.others_left = false;
    const RetryDecision decision = DecideRetry(facts, end, kNow);
    BOOST_REQUIRE(Is<RespondToCaller>(decision));
    BOOST_TEST(StatusOf(decision) == 502U);
  }
}

BOOST_AUTO_TEST_CASE(ATurnedDownCallIsRefusedWithATimeToComeBack) {
  CallFacts facts = Facts();
  facts.max_attempts = 1;
  const RetryDecision decision =
      DecideRetry(facts, AttemptResult::kNotRun, kNow);
  BOOST_REQUIRE(Is<RespondToCaller>(decision));
  BOOST_TEST(StatusOf(decision) == 503U);
  BOOST_TEST(std::get<RespondToCaller>(decision).retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(AttemptsAndBudgetBoundRepeats) {
  CallFacts facts = Facts();
  facts.may_repeat = true;
  facts.budget_allows = false;
  BOOST_TEST(!Is<RetryOnAnotherServer>(
      DecideRetry(facts, AttemptResult::kServerError, kNow)));
  facts.budget_allows = true;
  facts.sends = facts.max_attempts;
  BOOST_TEST(Is<ForwardServerError>(
      DecideRetry(facts, AttemptResult::kServerError, kNow)));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatHasBegunIsBrokenOffRatherThanEndedFalsely) {
  CallFacts facts = Facts();
  facts.may_have_run = true;
  facts.answer_begun = true;
  BOOST_TEST(
      Is<AbortResponse>(DecideRetry(facts, AttemptResult::kBroken, kNow)));
}

BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheDeadline) {
  CallFacts facts = Facts();
  facts.may_repeat = true;
  facts.deadline = kNow;
  BOOST_TEST(!Is<RetryOnAnotherServer>(
      DecideRetry(facts, AttemptResult::kNotRun, kNow)));
}

}  // namespace
}  // namespace coltsfootfork

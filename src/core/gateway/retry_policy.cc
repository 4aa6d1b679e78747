#include "coltsfootfork/core/gateway/retry_policy.h"

namespace coltsfootfork {
namespace {

constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kUnavailable = 503;

bool MayRetry(const CallFacts& facts, AttemptResult end, Time now) {
  if (now >= facts.deadline || !facts.others_left) return false;
  // What reached no server is neither an attempt nor a repeat.
  if (end == AttemptResult::kNeverSent) return true;
  if (facts.sends >= facts.max_attempts || !facts.budget_allows) return false;
  return facts.may_repeat || !facts.may_have_run;
}

}  // namespace

RetryDecision DecideRetry(const CallFacts& facts, AttemptResult end, Time now) {
  if (MayRetry(facts, end, now)) return RetryOnAnotherServer{};
  if (facts.answer_begun) return AbortResponse{};
  if (end == AttemptResult::kServerError) return ForwardServerError{};
  if (facts.may_have_run) return RespondToCaller{kBadGateway, std::nullopt};
  return RespondToCaller{kUnavailable, kRetryAfterRefusal};
}

}  // namespace coltsfootfork

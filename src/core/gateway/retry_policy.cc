#include "coltsfootfork/core/gateway/retry_policy.h"

namespace coltsfootfork {
namespace {

constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kServiceUnavailable = 503;

bool MayRetry(const AttemptHistory& history, AttemptResult result, Time now) {
  if (now >= history.deadline || !history.untried_server_available) {
    return false;
  }
  // An attempt that reached no server counts as neither an attempt nor a retry.
  if (result == AttemptResult::kNeverSent) return true;
  if (history.attempts >= history.max_attempts || !history.budget_allows) {
    return false;
  }
  return history.safe_to_retry || !history.may_have_run;
}

}  // namespace

RetryDecision DecideRetry(const AttemptHistory& history, AttemptResult result,
                          Time now) {
  if (MayRetry(history, result, now)) return RetryOnAnotherServer{};
  if (history.response_started) return AbortResponse{};
  if (result == AttemptResult::kServerError) return ForwardServerError{};
  if (history.may_have_run) return RespondToCaller{kBadGateway, std::nullopt};
  return RespondToCaller{kServiceUnavailable, kRetryAfterRefusal};
}

}  // namespace coltsfootfork

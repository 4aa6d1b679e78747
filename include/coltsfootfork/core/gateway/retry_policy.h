#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/types/time.h"

// Decides whether a failed attempt of a call is retried.
namespace coltsfootfork {

// The result of a failed attempt.
enum class AttemptResult : std::uint8_t {
  // Connection failed: no byte reached the server.
  kNeverSent = 0,
  // The server indicated that it did not run the call.
  kNotRun,
  // The server responded with an error.
  kServerError,
  // No complete response: the call may have run.
  kIncompleteResponse,
};

// The state of a call after a failed attempt.
struct AttemptHistory {
  bool safe_to_retry = false;
  // Attempts that reached a server, including this one.
  std::uint32_t attempts = 0;
  std::uint32_t max_attempts = 1;
  // This attempt or an earlier one may have run.
  bool may_have_run = false;
  // Part of the response was sent to the caller.
  bool response_started = false;
  // The caller does not wait for a response after this time.
  Time deadline;
  // The retry budget is not exhausted.
  bool budget_allows = false;
  bool untried_server_available = true;
};

struct RetryOnAnotherServer {};
// Forward the server's error response to the caller.
struct ForwardServerError {};
// Respond to the caller with an HTTP status of the gateway.
struct RespondToCaller {
  std::uint32_t status = 503;
  // Set if the call has not run and will not run later.
  std::optional<std::chrono::milliseconds> retry_after;
};
// Abort a response that has started and cannot be completed.
struct AbortResponse {};

using RetryDecision = std::variant<RetryOnAnotherServer, ForwardServerError,
                                   RespondToCaller, AbortResponse>;

// A call that reached no server is retried until its deadline. A call that was
// rejected, or that is safe to retry, is retried within the attempt limit and
// the retry budget. A call that may have run and is not safe to retry gets a
// status that does not indicate whether it ran.
RetryDecision DecideRetry(const AttemptHistory& history, AttemptResult result,
                          Time now);

// Retry-After of a refused call.
inline constexpr std::chrono::milliseconds kRetryAfterRefusal{500};

}  // namespace coltsfootfork

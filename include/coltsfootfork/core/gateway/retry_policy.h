#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/types/time.h"

// What becomes of a call after one send of it has ended without success.
namespace coltsfootfork {

// How a send ended.
enum class AttemptResult : std::uint8_t {
  // No connection: not one byte reached the server.
  kNeverSent = 0,
  // The server says that it has not run the call.
  kNotRun,
  // The server answered with a failure of its own.
  kServerError,
  // No whole answer: the call may have run.
  kIncompleteResponse,
};

// What is known of a call when a send of it ends.
struct AttemptHistory {
  bool safe_to_retry = false;
  // Sends that reached a server, this one included.
  std::uint32_t attempts = 0;
  std::uint32_t max_attempts = 1;
  // An earlier send, or this one, may have run.
  bool may_have_run = false;
  // Part of the answer has reached the caller.
  bool response_started = false;
  // The caller has no use for an answer after this.
  Time deadline;
  // The repeat budget has room.
  bool budget_allows = false;
  // Servers that were not tried yet are there.
  bool untried_server_available = true;
};

// Send the call once more, to another server.
struct RetryOnAnotherServer {};
// Hand the server's own failure to the caller.
struct ForwardServerError {};
// Answer for the servers. The statuses are those of HTTP.
struct RespondToCaller {
  std::uint32_t status = 503;
  // Set where the call has not run and never will.
  std::optional<std::chrono::milliseconds> retry_after;
};
// The answer has begun and cannot be made whole.
struct AbortResponse {};

using RetryDecision = std::variant<RetryOnAnotherServer, ForwardServerError,
                                   RespondToCaller, AbortResponse>;

// A call that reached no server goes on until its deadline; one that a server
// turned down, or that may run again, while attempts and budget last. What may
// have run and may not repeat is answered with a status that promises nothing.
RetryDecision DecideRetry(const AttemptHistory& history, AttemptResult result,
                          Time now);

// When a caller that was refused should come back.
inline constexpr std::chrono::milliseconds kRetryAfterRefusal{500};

}  // namespace coltsfootfork

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace coltsfootfork {

// The reason for which a request was refused, retried or ended early, or a
// frame dropped. Each reason has a counter of the same name and appears in
// problem documents.
enum class Reason : std::uint8_t {
  kNone = 0,
  // Refusals before any dispatch to a backend server.
  kBadRequest,
  kUnauthenticated,
  kUnknownService,
  kNoServer,
  kQueueFull,
  kDeadlineUnreachable,
  kWorkspaceRequestLimit,
  kWorkspaceTokenLimit,
  kWorkspaceStreamLimit,
  kRequestTooLarge,
  kStopping,
  kNotConfigured,
  kRevisionUnconfirmed,
  kServerDraining,
  kNoQuorum,
  kIdempotencyKeyReused,
  kClaimInProgress,
  kClaimOutcomeUnknown,
  kRetryBudgetSpent,
  // Failures after a dispatch.
  kServerRefused,
  kServerLost,
  kAgentLost,
  kServerError,
  kStreamStalled,
  kStreamIncomplete,
  kOutcomeUnknown,
  kCallerDisconnected,
  kSlowCaller,
  // Frames dropped.
  kStaleGeneration,
  kDuplicateFrame,
  kFrameGap,
  // Retries and migrations of a request.
  kRetriedBeforeFirstToken,
  kResumed,
  kReclaimMove,
};

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kReclaimMove) + 1;

// The snake-case name of a reason, used in counters and problem documents.
std::string_view ReasonName(Reason reason);

// Returns the reason with the given name, or nullopt if there is none.
std::optional<Reason> ParseReason(std::string_view name);

}  // namespace coltsfootfork

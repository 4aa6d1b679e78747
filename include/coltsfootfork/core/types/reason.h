#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace coltsfootfork {

// Why a request was refused, retried, ended early or had a frame dropped.
// Each reason has a counter of the same name and stands in problem documents.
enum class Reason : std::uint8_t {
  kNone = 0,
  // Refusals before any hand-over to a backend server.
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
  // Ends after a hand-over.
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
  // Moves of a request.
  kRetriedBeforeFirstToken,
  kResumed,
  kReclaimMove,
};

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kReclaimMove) + 1;

// The word for a reason: snake case, the same in counters and documents.
std::string_view ReasonName(Reason reason);

// The reason of that name, or nothing where there is none.
std::optional<Reason> ParseReason(std::string_view name);

}  // namespace coltsfootfork

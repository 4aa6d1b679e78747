#include "coltsfootfork/core/types/reason.h"

#include <array>

namespace coltsfootfork {
namespace {

// Indexed by Reason.
constexpr std::array<std::string_view, kReasonCount> kNames = {
    "none",
    "bad_request",
    "unauthenticated",
    "unknown_service",
    "no_server",
    "queue_full",
    "deadline_unreachable",
    "workspace_request_limit",
    "workspace_token_limit",
    "workspace_stream_limit",
    "request_too_large",
    "stopping",
    "not_configured",
    "revision_unconfirmed",
    "server_draining",
    "no_quorum",
    "idempotency_key_reused",
    "claim_in_progress",
    "claim_outcome_unknown",
    "retry_budget_spent",
    "server_refused",
    "server_lost",
    "agent_lost",
    "server_error",
    "stream_stalled",
    "stream_incomplete",
    "outcome_unknown",
    "caller_gone",
    "slow_caller",
    "stale_generation",
    "duplicate_frame",
    "frame_gap",
    "retried_before_first_token",
    "resumed",
    "reclaim_move",
};

}  // namespace

std::string_view ReasonName(Reason reason) {
  return kNames.at(static_cast<std::size_t>(reason));
}

std::optional<Reason> ParseReason(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == name) return static_cast<Reason>(i);
  }
  return std::nullopt;
}

}  // namespace coltsfootfork

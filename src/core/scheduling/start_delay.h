#pragma once

#include <chrono>

#include "core/scheduling/agent_state.h"

namespace coltsfootfork {

// Estimated queueing delay of a new request of the workspace. Zero while the
// server's capacity is unknown.
Duration EstimateStartDelay(const AgentState& state, Rank rank,
                            const WorkspaceId& workspace);

// Estimated delay of a new request behind all queued requests of the rank.
Duration EstimateRankDelay(const AgentState& state, Rank rank);

// Retry delay for a refused caller, with jitter to avoid synchronized retries.
std::chrono::milliseconds RetryAfter(AgentState& state, Rank rank);

}  // namespace coltsfootfork

#pragma once

#include <chrono>

#include "core/scheduling/agent_state.h"

namespace coltsfootfork {

// How long new work of the workspace would wait for its start. Zero while the
// server's capacity is not known.
Duration EstimateStartDelay(const AgentState& state, Rank rank,
                            const WorkspaceId& workspace);

// How long new work of a rank would wait behind all that waits.
Duration EstimateRankDelay(const AgentState& state, Rank rank);

// When a refused caller should come again, spread so that they do not all
// come at once.
std::chrono::milliseconds RetryAfter(AgentState& state, Rank rank);

}  // namespace coltsfootfork

#pragma once

#include <optional>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Acts on deadlines that have passed and on silence of the server.
void EnforceDeadlines(AgentState& state, Time now, Effects& effects);

// When the next deadline or bound on silence passes.
std::optional<Time> EarliestDeadline(const AgentState& state);

}  // namespace coltsfootfork

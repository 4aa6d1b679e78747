#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Processes a message from the backend server.
void HandleEngineMessage(AgentState& state, const EngineToAgent& message,
                         Time now, Effects& effects);

}  // namespace coltsfootfork

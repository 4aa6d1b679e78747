#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Dispatches queued requests in scheduling order until admission control
// rejects the next one.
void StartQueued(AgentState& state, Time now, Effects& effects);

}  // namespace coltsfootfork

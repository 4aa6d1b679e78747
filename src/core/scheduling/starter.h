#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Hands over what waits, in turn, as long as the next one may start.
void StartQueued(AgentState& state, Time now, Effects& effects);

}  // namespace coltsfootfork

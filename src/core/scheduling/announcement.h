#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Takes the backend server's word of who it is: a new incarnation has lost
// what the old one ran, a leaving one gets nothing new.
void HandleAnnouncement(AgentState& state, const EngineAnnouncement& announced,
                        Effects& effects);

// The backend server is silent: gives up what it ran and what waits for it.
void HandleServerTimeout(AgentState& state, Effects& effects);

}  // namespace coltsfootfork

#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Processes an announcement of the backend server: a new incarnation has lost
// the requests of the old one, a draining server receives no new requests.
void HandleAnnouncement(AgentState& state, const EngineAnnouncement& announced,
                        Effects& effects);

// Marks the backend server as unavailable, interrupts its running requests and
// refuses the queued ones.
void HandleServerTimeout(AgentState& state, Effects& effects);

}  // namespace coltsfootfork

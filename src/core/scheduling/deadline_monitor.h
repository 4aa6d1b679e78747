#pragma once

#include <optional>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Refuses queued requests past their deadline, interrupts stalled requests and
// handles a timeout of the server.
void EnforceDeadlines(AgentState& state, Time now, Effects& effects);

// Time of the next deadline or inactivity timeout.
std::optional<Time> NextMonitorDeadline(const AgentState& state);

}  // namespace coltsfootfork

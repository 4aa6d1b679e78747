#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Queues or refuses a dispatch; ignores a duplicate.
void HandleDispatch(AgentState& state, const ProcessId& entry,
                    const Dispatch& dispatch, Time now, Effects& effects);

// Removes a request from the queue, or cancels it at the server.
void HandleCancel(AgentState& state, const CancelRequest& cancel,
                  Effects& effects);

// Removes or cancels all requests of a disconnected entry.
void HandleEntryDisconnected(AgentState& state, const ProcessId& entry,
                             Effects& effects);

}  // namespace coltsfootfork

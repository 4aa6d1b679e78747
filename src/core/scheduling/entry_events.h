#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Takes a dispatch into the queue or refuses it; one that is known already
// changes nothing.
void HandleDispatch(AgentState& state, const ProcessId& entry,
                    const Dispatch& dispatch, Time now, Effects& effects);

// Takes a request out of the queue, or stops it at the server.
void HandleCancel(AgentState& state, const CancelRequest& cancel,
                  Effects& effects);

// Drops and stops everything of an entry that is gone.
void HandleEntryDisconnected(AgentState& state, const ProcessId& entry,
                             Effects& effects);

}  // namespace coltsfootfork

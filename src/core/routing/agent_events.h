#pragma once

#include "core/routing/entry_state.h"

// Handlers for agent connections and agent messages. They update the server
// table and the open requests.
namespace coltsfootfork {

void OnAgentConnected(EntryState* state, const ProcessId& agent, Time now);
void OnAgentDisconnected(EntryState* state, const ProcessId& agent, Time now);
void OnAgentMessage(EntryState* state, const AgentMessage& message, Time now);

}  // namespace coltsfootfork

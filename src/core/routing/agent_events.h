#pragma once

#include "core/routing/entry_state.h"

// What agents and the directory tell, and what follows for open requests.
namespace coltsfootfork {

void OnAgentConnected(EntryState* state, const ProcessId& agent, Time now);
void OnAgentDisconnected(EntryState* state, const ProcessId& agent, Time now);
void OnAgentMessage(EntryState* state, const AgentMessage& message, Time now);

}  // namespace coltsfootfork

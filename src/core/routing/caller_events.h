#pragma once

#include "core/routing/entry_state.h"

// Handlers for events of a caller's connection while its request is open.
namespace coltsfootfork {

void OnCallerDisconnected(EntryState* state, const CallerDisconnected& event,
                          Time now);
void OnCallerBacklog(EntryState* state, const CallerBacklog& backlog, Time now);

}  // namespace coltsfootfork

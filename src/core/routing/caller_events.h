#pragma once

#include "core/routing/entry_state.h"

// What a caller's connection tells about a request that is open.
namespace coltsfootfork {

void OnCallerDisconnected(EntryState* state, const CallerDisconnected& event,
                          Time now);
void OnCallerBacklog(EntryState* state, const CallerBacklog& backlog, Time now);

}  // namespace coltsfootfork

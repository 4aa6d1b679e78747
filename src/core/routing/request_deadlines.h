#pragma once

#include "core/routing/entry_state.h"

namespace coltsfootfork {

// Acts on every request whose present state has lasted too long.
void RunDeadlines(EntryState* state, Time now);

}  // namespace coltsfootfork

#pragma once

#include "core/routing/entry_state.h"

namespace coltsfootfork {

// Handles every request whose deadline has expired.
void RunDeadlines(EntryState* state, Time now);

}  // namespace coltsfootfork

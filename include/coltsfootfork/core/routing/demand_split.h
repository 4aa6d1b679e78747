#pragma once

#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/limit_messages.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// What the callers of one entry want of a workspace's limits.
struct EntryDemand {
  ProcessId entry;
  LimitShare wanted;
};

// One entry's part of a workspace's limits.
struct EntryShare {
  ProcessId entry;
  LimitShare share;
};

// Splits the limits of one workspace over the entries: max-min fair by
// demand, and what nobody wants in even parts, so that an entry whose callers
// come back has something to begin with. The parts of a limit sum up to it
// exactly. Returns the entries in the order given.
std::vector<EntryShare> SplitByDemand(const WorkspaceLimits& limits,
                                      const std::vector<EntryDemand>& demands);

}  // namespace coltsfootfork

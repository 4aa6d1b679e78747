#pragma once

#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/limit_messages.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The demand of one entry's callers on a workspace's limits.
struct EntryDemand {
  ProcessId entry;
  LimitShare wanted;
};

// The share of a workspace's limits that one entry may use.
struct EntryShare {
  ProcessId entry;
  LimitShare share;
};

// Splits the limits of one workspace among the entries: max-min fair by demand,
// with the remainder divided evenly so that an idle entry can admit its first
// requests. The shares of a limit add up to exactly that limit. Returns the
// entries in the order of `demands`.
std::vector<EntryShare> SplitByDemand(const WorkspaceLimits& limits,
                                      const std::vector<EntryDemand>& demands);

}  // namespace coltsfootfork

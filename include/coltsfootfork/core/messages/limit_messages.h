#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/ids.h"

// How the limits of a workspace are split over the entries.
namespace coltsfootfork {

// One entry's part of a workspace's limits, or what it would use of them.
// Zero means nothing at all; where the workspace has no limit it counts for
// nothing.
struct LimitShare {
  std::uint32_t requests_per_second = 0;
  std::uint32_t tokens_per_second = 0;
  std::uint32_t concurrent_streams = 0;
};

// One entry among the live ones, in the order of their names.
struct EntryPlace {
  std::uint32_t entries = 1;
  std::uint32_t index = 0;
};

// What one entry may let through for a workspace.
struct WorkspaceLimitShare {
  WorkspaceId workspace;
  LimitShare share;
};

// What the callers of one entry asked for, let through or not.
struct WorkspaceDemand {
  WorkspaceId workspace;
  LimitShare wanted;
};

}  // namespace coltsfootfork

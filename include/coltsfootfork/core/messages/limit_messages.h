#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/ids.h"

// Messages that split the limits of a workspace among the entries.
namespace coltsfootfork {

// One entry's share of a workspace's limits, or its demand for them. Zero
// allows nothing; a field for which the workspace has no limit is ignored.
struct LimitShare {
  std::uint32_t requests_per_second = 0;
  std::uint32_t tokens_per_second = 0;
  std::uint32_t concurrent_streams = 0;
};

// Position of an entry among the live entries, sorted by name.
struct EntryPlace {
  std::uint32_t entries = 1;
  std::uint32_t index = 0;
};

// The load that one entry may admit for a workspace.
struct WorkspaceLimitShare {
  WorkspaceId workspace;
  LimitShare share;
};

// The load that callers requested at one entry, admitted or not.
struct WorkspaceDemand {
  WorkspaceId workspace;
  LimitShare wanted;
};

}  // namespace coltsfootfork

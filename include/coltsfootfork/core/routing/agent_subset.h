#pragma once

#include <cstddef>
#include <vector>

#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The maximum number of agents per service that an entry connects to.
struct AgentSubsetOptions {
  std::size_t own_zone = 8;
  std::size_t other_zones = 8;
};

// Selects the agents of a directory that an entry connects to, which avoids a
// full mesh of entries and agents. For each service, agents in the entry's own
// zone and in other zones are selected by rendezvous hashing: the selection is
// deterministic, differs between entries, and changes by at most one agent when
// an agent is added or removed. The result is sorted by process.
std::vector<DirectoryAgent> ChooseAgentSubset(
    const std::vector<DirectoryAgent>& directory, const ProcessId& entry,
    const ZoneId& zone, const AgentSubsetOptions& options = {});

}  // namespace coltsfootfork

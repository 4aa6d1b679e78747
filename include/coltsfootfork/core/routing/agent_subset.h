#pragma once

#include <cstddef>
#include <vector>

#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// How many agents an entry keeps links to for each service.
struct AgentSubsetOptions {
  std::size_t own_zone = 8;
  std::size_t other_zones = 8;
};

// The agents of a directory that one entry keeps links to, so that entries and
// agents form no full mesh. Each service gets agents of the entry's own zone
// and of others, chosen by rendezvous hashing: the same for the same directory,
// different for different entries, and moved by one where one agent comes or
// goes. Sorted by process.
std::vector<DirectoryAgent> ChooseAgentSubset(
    const std::vector<DirectoryAgent>& directory, const ProcessId& entry,
    const ZoneId& zone, const AgentSubsetOptions& options = {});

}  // namespace coltsfootfork

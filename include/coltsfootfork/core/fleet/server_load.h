#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// What calls take of a server.
struct ServerLoad {
  std::uint32_t calls = 0;
  // Engine memory at the calls' predicted peaks, in tokens.
  std::uint64_t tokens = 0;
  // Of these, prompts of calls that have not begun to answer.
  std::uint64_t pending_prefill_tokens = 0;
};

using FleetLoad = std::map<ServerId, ServerLoad>;

// A server's load as a message tells it.
struct LoadEntry {
  ServerId server;
  ServerLoad load;
};

std::vector<LoadEntry> ToList(const FleetLoad& load);
FleetLoad ToFleetLoad(const std::vector<LoadEntry>& list);
void AddLoad(FleetLoad& sum, const FleetLoad& more);
// What is left of a sum without a part of it, which may be of another moment.
void SubtractLoad(FleetLoad& sum, const FleetLoad& part);

}  // namespace coltsfootfork

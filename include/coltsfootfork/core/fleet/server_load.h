#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The part of a server's capacity that calls use.
struct ServerLoad {
  std::uint32_t calls = 0;
  // Engine memory at the calls' predicted peaks, in tokens.
  std::uint64_t tokens = 0;
  // The part of `tokens` due to prompts of calls whose response has not begun.
  std::uint64_t pending_prefill_tokens = 0;
};

using FleetLoad = std::map<ServerId, ServerLoad>;

// One element of FleetLoad, as sent in messages.
struct LoadEntry {
  ServerId server;
  ServerLoad load;
};

std::vector<LoadEntry> ToList(const FleetLoad& load);
FleetLoad ToFleetLoad(const std::vector<LoadEntry>& list);
void AddLoad(FleetLoad& sum, const FleetLoad& more);
// Subtracts a part from a sum. Each difference is clamped at zero, because the
// part may have been measured at another time than the sum.
void SubtractLoad(FleetLoad& sum, const FleetLoad& part);

}  // namespace coltsfootfork

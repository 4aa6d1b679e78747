#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// Engine memory, in tokens, that calls of a service and a rank need beyond what
// is reserved for them.
using FleetDemand =
    std::map<std::pair<ServiceId, std::uint32_t>, std::uint64_t>;

// One element of FleetDemand, as sent in messages.
struct DemandEntry {
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint64_t tokens = 0;
};

std::vector<DemandEntry> ToList(const FleetDemand& demand);
FleetDemand ToFleetDemand(const std::vector<DemandEntry>& list);
void AddDemand(FleetDemand& sum, const FleetDemand& more);
// Subtracts a part from a sum. Each difference is clamped at zero, because the
// part may have been measured at another time than the sum.
void SubtractDemand(FleetDemand& sum, const FleetDemand& part);

}  // namespace coltsfootfork

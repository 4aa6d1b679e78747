#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// Engine memory, in tokens, that calls of a service and a rank want and do not
// have yet.
using FleetDemand =
    std::map<std::pair<ServiceId, std::uint32_t>, std::uint64_t>;

// A part of the demand as a message tells it.
struct DemandEntry {
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint64_t tokens = 0;
};

std::vector<DemandEntry> ToList(const FleetDemand& demand);
FleetDemand ToFleetDemand(const std::vector<DemandEntry>& list);
void AddDemand(FleetDemand& sum, const FleetDemand& more);
// What is left of a sum without a part of it, which may be of another moment.
void SubtractDemand(FleetDemand& sum, const FleetDemand& part);

}  // namespace coltsfootfork

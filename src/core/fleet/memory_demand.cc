#include "coltsfootfork/core/fleet/memory_demand.h"

#include <algorithm>

namespace coltsfootfork {

std::vector<DemandEntry> ToList(const FleetDemand& demand) {
  std::vector<DemandEntry> list;
  list.reserve(demand.size());
  for (const auto& [key, tokens] : demand) {
    list.push_back({key.first, key.second, tokens});
  }
  return list;
}

FleetDemand ToFleetDemand(const std::vector<DemandEntry>& list) {
  FleetDemand demand;
  for (const DemandEntry& entry : list) {
    demand[{entry.service, entry.rank}] = entry.tokens;
  }
  return demand;
}

void AddDemand(FleetDemand& sum, const FleetDemand& more) {
  for (const auto& [key, tokens] : more) sum[key] += tokens;
}

void SubtractDemand(FleetDemand& sum, const FleetDemand& part) {
  for (const auto& [key, tokens] : part) {
    const auto found = sum.find(key);
    if (found == sum.end()) continue;
    found->second -= std::min(found->second, tokens);
    if (found->second == 0) sum.erase(found);
  }
}

}  // namespace coltsfootfork

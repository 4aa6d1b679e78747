#include "coltsfootfork/core/gateway/zone_restrictions.h"

#include <algorithm>
#include <iterator>

namespace coltsfootfork {

AllowedRegions CombineRegions(const std::vector<RegionId>& route,
                              const std::vector<RegionId>& workspace) {
  if (route.empty() && workspace.empty()) return std::nullopt;
  const std::set<RegionId> by_route(route.begin(), route.end());
  const std::set<RegionId> by_workspace(workspace.begin(), workspace.end());
  if (workspace.empty()) return by_route;
  if (route.empty()) return by_workspace;
  std::set<RegionId> both;
  std::set_intersection(by_route.begin(), by_route.end(), by_workspace.begin(),
                        by_workspace.end(), std::inserter(both, both.end()));
  return both;
}

void ZoneRestrictions::SetEvacuated(const std::vector<ZoneId>& zones,
                                    Time now) {
  std::map<ZoneId, Time> evacuated_since;
  for (const ZoneId& zone : zones) {
    evacuated_since[zone] = EvacuatedSince(zone).value_or(now);
  }
  evacuated_since_ = std::move(evacuated_since);
}

bool ZoneRestrictions::Allows(const ZoneId& zone,
                              const AllowedRegions& permitted_regions) const {
  if (evacuated_since_.count(zone) != 0) return false;
  if (!permitted_regions) return true;
  const auto region = regions_.find(zone);
  return region != regions_.end() &&
         permitted_regions->count(region->second) > 0;
}

std::optional<Time> ZoneRestrictions::EvacuatedSince(const ZoneId& zone) const {
  const auto found = evacuated_since_.find(zone);
  if (found == evacuated_since_.end()) return std::nullopt;
  return found->second;
}

}  // namespace coltsfootfork

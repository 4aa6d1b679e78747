#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The regions in which a call may run; nullopt for all regions.
using AllowedRegions = std::optional<std::set<RegionId>>;

// Returns the regions that both lists allow. An empty list allows all regions.
AllowedRegions CombineRegions(const std::vector<RegionId>& route,
                              const std::vector<RegionId>& workspace);

// Decides which zones' servers calls may use: none of an evacuated zone, and
// only those of the regions that the call's route and workspace allow.
class ZoneRestrictions {
 public:
  ZoneRestrictions() = default;
  // `regions` is the region of each zone. A call whose regions are restricted
  // does not use zones without one.
  explicit ZoneRestrictions(std::map<ZoneId, RegionId> regions)
      : regions_(std::move(regions)) {}

  // Replaces the evacuated zones, which this entry learned of now.
  void SetEvacuated(const std::vector<ZoneId>& zones, Time now);

  bool Allows(const ZoneId& zone,
              const AllowedRegions& permitted_regions) const;
  // Returns when this entry learned that the zone is evacuated; nullopt if it
  // is not.
  std::optional<Time> EvacuatedSince(const ZoneId& zone) const;

 private:
  std::map<ZoneId, RegionId> regions_;
  std::map<ZoneId, Time> evacuated_since_;
};

}  // namespace coltsfootfork

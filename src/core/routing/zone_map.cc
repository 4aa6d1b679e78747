#include "core/routing/zone_map.h"

#include <utility>

namespace coltsfootfork {

ZoneMap::ZoneMap(ZoneId home, const ChoiceOptions& options,
                 const Configuration& configuration)
    : home_(std::move(home)),
      other_zone_(options.other_zone_distance),
      other_region_(options.other_region_distance) {
  for (const AvailabilityZone& zone : configuration.zones) {
    regions_.emplace(zone.id, zone.region);
  }
}

std::chrono::microseconds ZoneMap::Distance(const ZoneId& zone) const {
  if (zone == home_) return std::chrono::microseconds{0};
  const auto there = regions_.find(zone);
  const auto here = regions_.find(home_);
  const bool same_region = there != regions_.end() && here != regions_.end() &&
                           there->second == here->second;
  return same_region ? other_zone_ : other_region_;
}

}  // namespace coltsfootfork

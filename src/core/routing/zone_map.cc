#include "core/routing/zone_map.h"

#include <utility>

namespace coltsfootfork {

ZoneMap::ZoneMap(ZoneId own_zone, const ChoiceOptions& options,
                 const Configuration& configuration)
    : own_zone_(std::move(own_zone)),
      other_zone_(options.other_zone_distance),
      other_region_(options.other_region_distance) {
  for (const AvailabilityZone& zone : configuration.zones) {
    regions_.emplace(zone.id, zone.region);
  }
}

std::chrono::microseconds ZoneMap::Distance(const ZoneId& zone) const {
  if (zone == own_zone_) return std::chrono::microseconds{0};
  const auto other_region = regions_.find(zone);
  const auto own_region = regions_.find(own_zone_);
  const bool same_region = other_region != regions_.end() &&
                           own_region != regions_.end() &&
                           other_region->second == own_region->second;
  return same_region ? other_zone_ : other_region_;
}

}  // namespace coltsfootfork

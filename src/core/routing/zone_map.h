#pragma once

#include <chrono>
#include <map>
#include <string>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/routing/entry_options.h"

namespace coltsfootfork {

// Network distance from this entry to each availability zone.
class ZoneMap {
 public:
  ZoneMap() = default;
  ZoneMap(ZoneId own_zone, const ChoiceOptions& options,
          const Configuration& configuration);

  // The network latency added to a request to a server in the zone. A zone that
  // is missing in the configuration counts as in another region.
  std::chrono::microseconds Distance(const ZoneId& zone) const;

 private:
  ZoneId own_zone_;
  std::chrono::microseconds other_zone_{0};
  std::chrono::microseconds other_region_{0};
  std::map<ZoneId, std::string> regions_;
};

}  // namespace coltsfootfork

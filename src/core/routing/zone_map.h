#pragma once

#include <chrono>
#include <map>
#include <string>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/routing/entry_options.h"

namespace coltsfootfork {

// How far each availability zone is from this entry.
class ZoneMap {
 public:
  ZoneMap() = default;
  ZoneMap(ZoneId own_zone, const ChoiceOptions& options,
          const Configuration& configuration);

  // What a request to a server of the zone costs in way. A zone that the
  // configuration does not name counts as one of another region.
  std::chrono::microseconds Distance(const ZoneId& zone) const;

 private:
  ZoneId own_zone_;
  std::chrono::microseconds other_zone_{0};
  std::chrono::microseconds other_region_{0};
  std::map<ZoneId, std::string> regions_;
};

}  // namespace coltsfootfork

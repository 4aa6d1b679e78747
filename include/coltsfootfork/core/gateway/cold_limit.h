#pragma once

#include <cstdint>
#include <optional>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// How many requests a cold server takes, and how far all entries together may
// exceed that.
struct ColdLimitOptions {
  // The bound in any second is `per_second` of the service times `overage`,
  // plus `slack`.
  double overage = 1;
  double slack = 0;
};

// Returns the minimum time between two requests of one entry to a cold server
// that takes `per_second` requests a second, such that all entries together
// stay below the bound. `entries` is nullopt while an entry does not know the
// number of entries: it then takes the smallest share.
Duration ColdInterval(double per_second, const ColdLimitOptions& options,
                      std::optional<std::uint32_t> entries);

}  // namespace coltsfootfork

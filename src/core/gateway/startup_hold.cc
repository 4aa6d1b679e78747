#include "coltsfootfork/core/gateway/startup_hold.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// An entry that has run for so long and knows nothing is cut off from control:
// holding calls would only take their time.
constexpr Duration kStarting = std::chrono::seconds(3);
constexpr int kPartOfPatience = 4;

}  // namespace

Duration StartupHoldFor(const StartupHoldOptions& options, Duration age,
                        std::chrono::milliseconds patience) {
  const Duration left = std::max<Duration>(kStarting - age, Duration(0));
  return std::min<Duration>(
      {options.max_hold, patience / kPartOfPatience, left});
}

}  // namespace coltsfootfork

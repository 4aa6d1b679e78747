#include "coltsfootfork/core/gateway/startup_hold.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// An entry without a plan or servers after this time is disconnected from the
// control processes; holding calls would only delay them.
constexpr Duration kStartupPeriod = std::chrono::seconds(3);
constexpr int kTimeoutDivisor = 4;

}  // namespace

Duration StartupHoldFor(const StartupHoldOptions& options, Duration uptime,
                        std::chrono::milliseconds caller_timeout) {
  const Duration startup_left =
      std::max<Duration>(kStartupPeriod - uptime, Duration(0));
  return std::min<Duration>(
      {options.max_hold, caller_timeout / kTimeoutDivisor, startup_left});
}

}  // namespace coltsfootfork

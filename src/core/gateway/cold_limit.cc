#include "coltsfootfork/core/gateway/cold_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfootfork {
namespace {

// The rest is left for entries that have just started or that others have not
// counted, and for requests that arrive closer together than they were sent.
constexpr double kSharedFraction = 0.8;
// More entries than today's fleets have.
constexpr std::uint32_t kAssumedEntries = 128;
// Requests exactly 1/n of a second apart can be n+1 in a second.
constexpr double kIntervalMargin = 1.05;
// A lower rate would hardly differ from an evacuation.
constexpr double kMinPerSecond = 0.2;

}  // namespace

Duration ColdInterval(double per_second, const ColdLimitOptions& options,
                      std::optional<std::uint32_t> entries) {
  const double sharers =
      std::max<std::uint32_t>(entries.value_or(kAssumedEntries), 1);
  const double rate = std::max(kSharedFraction * per_second, kMinPerSecond);
  // On average no more than the server takes.
  double seconds = sharers / rate;
  // If each entry may send at least one request a second, spacing guarantees
  // the bound in every second, however the entries' requests coincide.
  const double bound =
      kSharedFraction * (per_second * options.overage + options.slack);
  const double guaranteed = std::floor(bound / sharers);
  if (guaranteed >= 1) {
    seconds = std::max(seconds, kIntervalMargin / guaranteed);
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace coltsfootfork

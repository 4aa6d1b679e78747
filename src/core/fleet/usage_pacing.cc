#include "coltsfootfork/core/fleet/usage_pacing.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// A prefill takes some 300 ms. A change passes three processes, each of which
// waits for half of the interval on average, and is known everywhere within a
// quarter of that time.
constexpr milliseconds kMinInterval{50};
constexpr std::uint32_t kEntriesAtMinInterval = 32;
// Periodic reports are as frequent.
constexpr milliseconds kPeriod{200};

Duration Interval(std::uint32_t entries) {
  return kMinInterval * std::max(entries, kEntriesAtMinInterval) /
         kEntriesAtMinInterval;
}

}  // namespace

std::optional<Duration> UsageInterval(const UsagePacing& pacing,
                                      std::uint32_t entries) {
  if (std::holds_alternative<PeriodicUsage>(pacing)) return std::nullopt;
  const Duration interval = Interval(entries);
  return interval < kPeriod ? std::optional(interval) : std::nullopt;
}

std::optional<UsagePacing> ParseUsagePacing(const std::string& name) {
  if (name == "periodic") return PeriodicUsage{};
  if (name == "prompt") return PromptUsage{};
  return std::nullopt;
}

}  // namespace coltsfootfork

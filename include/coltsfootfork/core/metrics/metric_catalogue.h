#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

// The names of all metrics with their help texts, as docs/operators/metrics.md
// lists them.
namespace coltsfootfork {

// Values of one process that go up and down.
enum class Gauge : std::uint8_t {
  kRevisionInForce = 0,
  kOpenRequests,
  kQueuedRequests,
  kRunningRequests,
  kMemoryUsedTokens,
  kMemoryTokens,
  kServing,
  kControlLeader,
  kControlTerm,
  kControlLeases,
  kControlClaims,
};
inline constexpr std::size_t kGaugeCount =
    static_cast<std::size_t>(Gauge::kControlClaims) + 1;

// Counts without labels, beside those of the reasons.
enum class Counter : std::uint8_t {
  kPreemptions = 0,
  kInputFindings,
};
inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kInputFindings) + 1;

// Durations, each by rank and service.
enum class Timing : std::uint8_t {
  kFirstToken = 0,
  kTokenGap,
  kStall,
  kQueueDelay,
};
inline constexpr std::size_t kTimingCount =
    static_cast<std::size_t>(Timing::kQueueDelay) + 1;

struct MetricInfo {
  std::string_view name;
  std::string_view help;
};

const MetricInfo& InfoOf(Gauge gauge);
const MetricInfo& InfoOf(Counter counter);
const MetricInfo& InfoOf(Timing timing);
// The counter of reasons, by reason, rank and service.
const MetricInfo& ReasonsInfo();

// Every metric, in the order of the exposition.
std::vector<MetricInfo> AllMetrics();

}  // namespace coltsfootfork

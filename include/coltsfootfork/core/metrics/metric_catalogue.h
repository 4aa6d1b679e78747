#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

// The names and help texts of all metrics. docs/operators/metrics.md lists the
// same metrics.
namespace coltsfootfork {

// Current values of one process; each can rise and fall.
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

// Unlabelled counters. ReasonsInfo() describes the labelled counter of reasons.
enum class Counter : std::uint8_t {
  kPreemptions = 0,
  kInputFindings,
};
inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kInputFindings) + 1;

// Duration histograms, labelled by rank and service.
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
// Describes the counter of reasons, labelled by reason, rank and service.
const MetricInfo& ReasonsInfo();

// Returns all metrics in the order in which they are exported.
std::vector<MetricInfo> AllMetrics();

}  // namespace coltsfootfork

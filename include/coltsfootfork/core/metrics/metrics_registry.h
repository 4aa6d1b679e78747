#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "coltsfootfork/core/metrics/duration_histogram.h"
#include "coltsfootfork/core/metrics/metric_catalogue.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/reason.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct MetricsOptions {
  // A longer gap between two tokens is a stall.
  std::chrono::milliseconds stall_after{250};
  // Further services share the label "other". No label names a workspace.
  std::size_t max_services = 64;
};

// Everything that a process measures. It holds numbers only; whoever knows the
// clock hands in durations.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(const MetricsOptions& options = {});

  // An empty service stands for a request that got none yet.
  void Count(Reason reason, Rank rank, const ServiceId& service);
  void Add(Counter counter, std::uint64_t count = 1);
  void Set(Gauge gauge, std::uint64_t value);
  void SetRevisionInForce(Revision revision) {
    Set(Gauge::kRevisionInForce, revision);
  }

  void ObserveFirstToken(Rank rank, const ServiceId& service, Duration delay);
  // Also counts the stall, where the gap is one.
  void ObserveTokenGap(Rank rank, const ServiceId& service, Duration gap);
  void ObserveQueueDelay(Rank rank, const ServiceId& service, Duration delay);

  // All metrics in the Prometheus text format, always in the same order.
  std::string ToPrometheusText() const;

 private:
  using ReasonKey = std::tuple<Reason, Rank, std::string>;
  using TimingKey = std::tuple<Timing, Rank, std::string>;

  // The label for a service, within the bound.
  const std::string& ServiceLabel(const ServiceId& service);
  void Observe(Timing timing, Rank rank, const ServiceId& service,
               Duration duration);

  MetricsOptions options_;
  std::map<ServiceId, std::string> labels_;
  std::map<ReasonKey, std::uint64_t> reasons_;
  std::array<std::uint64_t, kCounterCount> counters_{};
  std::array<std::uint64_t, kGaugeCount> gauges_{};
  std::map<TimingKey, DurationHistogram> histograms_;
};

}  // namespace coltsfootfork

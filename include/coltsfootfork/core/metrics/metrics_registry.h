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
  // A gap between two tokens that exceeds this threshold counts as a stall.
  std::chrono::milliseconds stall_after{250};
  // Services beyond this number share the label value "other", which bounds the
  // number of time series. No label names a workspace.
  std::size_t max_services = 64;
};

// Collects all metrics of one process and exports them. The registry reads no
// clock: callers pass measured durations.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(const MetricsOptions& options = {});

  // `service` is empty if the request has not been assigned a service yet.
  void Count(Reason reason, Rank rank, const ServiceId& service);
  void Add(Counter counter, std::uint64_t count = 1);
  void Set(Gauge gauge, std::uint64_t value);
  void SetRevisionInForce(Revision revision) {
    Set(Gauge::kRevisionInForce, revision);
  }

  void ObserveFirstToken(Rank rank, const ServiceId& service, Duration delay);
  // Also observes a stall if the gap exceeds the stall threshold.
  void ObserveTokenGap(Rank rank, const ServiceId& service, Duration gap);
  void ObserveQueueDelay(Rank rank, const ServiceId& service, Duration delay);

  // Exports all metrics in the Prometheus text format, in a fixed order.
  std::string ToPrometheusText() const;

 private:
  using ReasonKey = std::tuple<Reason, Rank, std::string>;
  using TimingKey = std::tuple<Timing, Rank, std::string>;

  // Returns the label value for the service: its id, or "other" once
  // `max_services` services have a label of their own.
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

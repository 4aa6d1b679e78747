#include "coltsfootfork/core/metrics/metrics_registry.h"

#include <vector>

#include "core/metrics/prometheus_writer.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// Bucket bounds of all duration histograms. They include the targets of the
// ranks (27 ms between tokens, 1.8 s to the first token) and lie close together
// around them.
const std::vector<Duration>& BucketBounds() {
  static const std::vector<Duration> bounds = {
      milliseconds(1),     milliseconds(2),     milliseconds(5),
      milliseconds(10),    milliseconds(20),    milliseconds(27),
      milliseconds(40),    milliseconds(60),    milliseconds(100),
      milliseconds(250),   milliseconds(500),   milliseconds(1000),
      milliseconds(1800),  milliseconds(3000),  milliseconds(5000),
      milliseconds(10000), milliseconds(30000), milliseconds(60000)};
  return bounds;
}

const std::string& OverflowServiceLabel() {
  static const std::string other = "other";
  return other;
}

}  // namespace

MetricsRegistry::MetricsRegistry(const MetricsOptions& options)
    : options_(options) {
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    for (Rank rank : {Rank::kUrgent, Rank::kDeferrable}) {
      reasons_[{static_cast<Reason>(i), rank, {}}] = 0;
    }
  }
}

const std::string& MetricsRegistry::ServiceLabel(const ServiceId& service) {
  static const std::string none;
  if (service.empty()) return none;
  const auto existing = labels_.find(service);
  if (existing != labels_.end()) return existing->second;
  if (labels_.size() >= options_.max_services) return OverflowServiceLabel();
  return labels_.emplace(service, service.value()).first->second;
}

void MetricsRegistry::Count(Reason reason, Rank rank,
                            const ServiceId& service) {
  if (reason == Reason::kNone) return;
  ++reasons_[{reason, rank, ServiceLabel(service)}];
}

void MetricsRegistry::Add(Counter counter, std::uint64_t count) {
  counters_.at(static_cast<std::size_t>(counter)) += count;
}

void MetricsRegistry::Set(Gauge gauge, std::uint64_t value) {
  gauges_.at(static_cast<std::size_t>(gauge)) = value;
}

void MetricsRegistry::Observe(Timing timing, Rank rank,
                              const ServiceId& service, Duration duration) {
  histograms_.try_emplace({timing, rank, ServiceLabel(service)}, BucketBounds())
      .first->second.Observe(duration);
}

void MetricsRegistry::ObserveFirstToken(Rank rank, const ServiceId& service,
                                        Duration delay) {
  Observe(Timing::kFirstToken, rank, service, delay);
}

void MetricsRegistry::ObserveTokenGap(Rank rank, const ServiceId& service,
                                      Duration gap) {
  Observe(Timing::kTokenGap, rank, service, gap);
  if (gap <= options_.stall_after) return;
  Observe(Timing::kStall, rank, service, gap - options_.stall_after);
}

void MetricsRegistry::ObserveQueueDelay(Rank rank, const ServiceId& service,
                                        Duration delay) {
  Observe(Timing::kQueueDelay, rank, service, delay);
}

std::string MetricsRegistry::ToPrometheusText() const {
  PrometheusWriter writer;
  writer.Header(ReasonsInfo(), "counter");
  for (const auto& [key, count] : reasons_) {
    const auto& [reason, rank, service] = key;
    writer.Sample(ReasonsInfo().name,
                  {{"reason", std::string(ReasonName(reason))},
                   {"rank", std::string(RankName(rank))},
                   {"service", service}},
                  count);
  }
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const MetricInfo& info = InfoOf(static_cast<Counter>(i));
    writer.Header(info, "counter");
    writer.Sample(info.name, {}, counters_.at(i));
  }
  for (std::size_t i = 0; i < kGaugeCount; ++i) {
    const MetricInfo& info = InfoOf(static_cast<Gauge>(i));
    writer.Header(info, "gauge");
    writer.Sample(info.name, {}, gauges_.at(i));
  }
  for (std::size_t i = 0; i < kTimingCount; ++i) {
    const auto timing = static_cast<Timing>(i);
    writer.Header(InfoOf(timing), "histogram");
    for (const auto& [key, histogram] : histograms_) {
      const auto& [kind, rank, service] = key;
      if (kind != timing) continue;
      writer.Histogram(
          InfoOf(timing).name,
          {{"rank", std::string(RankName(rank))}, {"service", service}},
          BucketBounds(), histogram);
    }
  }
  return writer.Take();
}

}  // namespace coltsfootfork

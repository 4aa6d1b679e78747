#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coltsfootfork/core/metrics/duration_histogram.h"
#include "coltsfootfork/core/metrics/metric_catalogue.h"

namespace coltsfootfork {

struct MetricLabel {
  std::string_view name;
  std::string value;
};
using MetricLabels = std::vector<MetricLabel>;

// Builds a document in the Prometheus text format, version 0.0.4.
class PrometheusWriter {
 public:
  void Header(const MetricInfo& info, std::string_view type);
  void Sample(std::string_view name, const MetricLabels& labels,
              std::uint64_t value);
  // Writes the buckets with their bounds in seconds, the sum and the count.
  void Histogram(std::string_view name, const MetricLabels& labels,
                 const std::vector<Duration>& bounds,
                 const DurationHistogram& histogram);
  std::string Take() { return std::move(text_); }

 private:
  void Line(const std::string& name, const MetricLabels& labels,
            const std::string& value);

  std::string text_;
};

}  // namespace coltsfootfork

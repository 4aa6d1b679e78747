#include "coltsfootfork/core/metrics/duration_histogram.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// Boost.Histogram excludes the upper edge of a bucket, while Prometheus
// includes it. Durations are whole microseconds, so each edge is the bound plus
// 1 us.
std::vector<double> ToEdges(const std::vector<Duration>& bounds) {
  std::vector<double> edges;
  edges.reserve(bounds.size());
  for (Duration bound : bounds) {
    edges.push_back(static_cast<double>(bound.count() + 1));
  }
  return edges;
}

}  // namespace

DurationHistogram::DurationHistogram(const std::vector<Duration>& bounds)
    : buckets_(std::make_tuple(Axis(ToEdges(bounds)))) {}

void DurationHistogram::Observe(Duration duration) {
  // The clock is monotonic, but a caller may subtract times in the wrong order
  // and pass a negative duration.
  duration = std::max(duration, Duration::zero());
  buckets_(static_cast<double>(duration.count()));
  ++count_;
  sum_ += duration;
}

std::uint64_t DurationHistogram::CountUpTo(std::size_t bound) const {
  // Index -1 is the underflow bucket: durations up to the first bound.
  std::uint64_t total = 0;
  for (int i = -1; i < static_cast<int>(bound); ++i) total += buckets_.at(i);
  return total;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/metrics/duration_histogram.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// The axis excludes a bucket's upper edge, the exposition includes it: whole
// microseconds up to a bound lie below the next one.
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
  // A clock read twice cannot go back, but a caller's subtraction might.
  duration = std::max(duration, Duration::zero());
  buckets_(static_cast<double>(duration.count()));
  ++count_;
  sum_ += duration;
}

std::uint64_t DurationHistogram::CountUpTo(std::size_t bound) const {
  // Index -1 is the underflow: what lies up to the first bound.
  std::uint64_t total = 0;
  for (int i = -1; i < static_cast<int>(bound); ++i) total += buckets_.at(i);
  return total;
}

}  // namespace coltsfootfork

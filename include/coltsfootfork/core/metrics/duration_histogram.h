#pragma once

#include <boost/histogram/axis/option.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A histogram of durations over a fixed set of bucket bounds.
class DurationHistogram {
 public:
  // `bounds` are the inclusive upper bounds of the buckets, in ascending order.
  explicit DurationHistogram(const std::vector<Duration>& bounds);

  void Observe(Duration duration);

  // Returns the number of observations up to and including the bound at index
  // `bound` (cumulative, as Prometheus exports buckets).
  std::uint64_t CountUpTo(std::size_t bound) const;
  std::uint64_t count() const { return count_; }
  Duration sum() const { return sum_; }

 private:
  // The axis is in microseconds. The last bucket counts the durations above all
  // bounds.
  using Axis = boost::histogram::axis::variable<
      double, boost::histogram::use_default,
      boost::histogram::axis::option::bitset<
          boost::histogram::axis::option::underflow_t::value |
          boost::histogram::axis::option::overflow_t::value>>;
  using Buckets = boost::histogram::histogram<
      std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

  Buckets buckets_;
  std::uint64_t count_ = 0;
  Duration sum_{0};
};

}  // namespace coltsfootfork

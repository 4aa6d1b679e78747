#pragma once

#include <array>

#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Measures the throughput of the backend server in tokens per second under
// saturation, in total and per rank. Unknown until requests have been queued
// throughout one window.
class CapacityMeter {
 public:
  void CountTokens(Rank rank, double tokens);

  // Call on each tick; `work_queued` is true while requests are queued.
  void Observe(bool work_queued, Time now);

  bool known() const { return known_; }
  // Tokens per second; zero while unknown.
  double total_rate() const { return rates_[0] + rates_[1]; }
  double rank_rate(Rank rank) const { return rates_[RankIndex(rank)]; }

 private:
  void CloseWindow(double seconds);

  bool known_ = false;
  bool window_open_ = false;
  bool queued_throughout_ = false;
  Time window_start_;
  std::array<double, kRankCount> counts_{};
  std::array<double, kRankCount> rates_{};
};

}  // namespace coltsfootfork

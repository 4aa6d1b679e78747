#pragma once

#include <array>

#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Measures how many tokens a second the backend server makes while work
// waits, and what each rank gets of them. Unknown until work has waited for a
// whole window.
class CapacityMeter {
 public:
  void CountTokens(Rank rank, double tokens);

  // To be called each tick with whether work waits.
  void Observe(bool work_queued, Time now);

  bool known() const { return known_; }
  // Tokens a second; zero while unknown.
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

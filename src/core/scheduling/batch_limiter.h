#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// How many requests may run at once, so that the gaps between tokens keep to
// the promise of the strictest rank that has had work lately. Additive
// increase, multiplicative decrease on the share of gaps above the promise:
// this needs no model of how the gap grows with batch, context and prefill. A
// server whose gaps do not shrink with its batch keeps its batch: a smaller one
// would cost tokens and help nobody.
class BatchLimiter {
 public:
  BatchLimiter();

  // `target` is the longest gap that a rank is promised.
  void SetTarget(Rank rank, Duration target);
  // `most` is the server's own bound on requests; zero for none.
  void SetServerMax(std::uint32_t server_max);

  // Notes that a rank has work.
  void OnRankActive(Rank rank, Time now);
  // Counts one gap between two tokens of a stream.
  void CountGap(Duration gap);
  // To be called each tick with the number of requests that run.
  void Observe(std::uint32_t running, Time now);

  // Requests that may run at once.
  double Limit() const { return limit_; }

 private:
  Duration Target() const;
  // Where the present series of decreases began.
  struct Probe {
    std::uint32_t running = 0;
    double mean_gap = 0;
  };

  void CloseWindow(std::uint32_t running, Time now);
  void Decrease(std::uint32_t running, double mean_gap, Time now);
  // Whether a clearly smaller batch has left the gap as it was.
  bool DecreaseIsIneffective(std::uint32_t running, double mean_gap) const;

  std::array<Duration, kRankCount> targets_{};
  double limit_;
  double max_limit_;
  bool slow_start_ = true;
  bool urgent_active_ = false;
  Time urgent_last_active_;
  Time window_start_;
  std::uint32_t gaps_ = 0;
  std::uint32_t late_gaps_ = 0;
  double gap_sum_ = 0;
  std::uint32_t max_running_ = 0;
  std::optional<Probe> probe_;
  // Until when a late gap is no reason to decrease.
  Time decrease_suspended_until_;
};

}  // namespace coltsfootfork

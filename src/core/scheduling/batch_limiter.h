#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Adaptive limit on concurrent requests that keeps the gaps between tokens
// within the target of the strictest recently active rank. Uses additive
// increase and multiplicative decrease on the share of gaps above the target,
// so that no model of the gap by batch, context and prefill is needed. If a
// smaller batch does not shorten the gaps, the limit is restored, since it
// would only reduce throughput.
class BatchLimiter {
 public:
  BatchLimiter();

  // `target` is the maximum token gap of the rank.
  void SetTarget(Rank rank, Duration target);
  // `server_max` is the server's own limit on requests; zero for none.
  void SetServerMax(std::uint32_t server_max);

  // Records that a rank has a new request.
  void OnRankActive(Rank rank, Time now);
  // Records one gap between two tokens of a stream.
  void CountGap(Duration gap);
  // Call on each tick with the number of running requests.
  void Observe(std::uint32_t running, Time now);

  // Maximum number of concurrent requests.
  double Limit() const { return limit_; }

 private:
  Duration Target() const;
  // Batch size and mean gap at the start of the current series of decreases.
  struct Probe {
    std::uint32_t running = 0;
    double mean_gap = 0;
  };

  void CloseWindow(std::uint32_t running, Time now);
  void Decrease(std::uint32_t running, double mean_gap, Time now);
  // True when a clearly smaller batch has not shortened the mean gap.
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
  // Late gaps do not decrease the limit before this time.
  Time decrease_suspended_until_;
};

}  // namespace coltsfootfork

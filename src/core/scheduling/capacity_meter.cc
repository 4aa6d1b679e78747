#include "core/scheduling/capacity_meter.h"

#include <chrono>

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kWindow{500};
// Weight of the newest window in the moving average of the rate.
constexpr double kRateSmoothing = 0.3;

}  // namespace

void CapacityMeter::CountTokens(Rank rank, double tokens) {
  counts_.at(RankIndex(rank)) += tokens;
}

void CapacityMeter::Observe(bool work_queued, Time now) {
  if (!window_open_) {
    window_open_ = true;
    queued_throughout_ = work_queued;
    window_start_ = now;
    counts_ = {};
    return;
  }
  queued_throughout_ = queued_throughout_ && work_queued;
  if (now - window_start_ < kWindow) return;
  const std::chrono::duration<double> seconds = now - window_start_;
  if (queued_throughout_) CloseWindow(seconds.count());
  window_start_ = now;
  queued_throughout_ = work_queued;
  counts_ = {};
}

void CapacityMeter::CloseWindow(double seconds) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const double rate = counts_.at(i) / seconds;
    double& smoothed_rate = rates_.at(i);
    smoothed_rate =
        known_ ? smoothed_rate + kRateSmoothing * (rate - smoothed_rate) : rate;
  }
  known_ = true;
}

}  // namespace coltsfootfork

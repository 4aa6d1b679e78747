#include "core/scheduling/capacity_meter.h"

#include <chrono>

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kWindow{500};
// How much of the newest window goes into the rate.
constexpr double kNewest = 0.3;

}  // namespace

void CapacityMeter::CountTokens(Rank rank, double tokens) {
  counts_.at(RankIndex(rank)) += tokens;
}

void CapacityMeter::Observe(bool work_waits, Time now) {
  if (!open_) {
    open_ = true;
    waited_throughout_ = work_waits;
    since_ = now;
    counts_ = {};
    return;
  }
  waited_throughout_ = waited_throughout_ && work_waits;
  if (now - since_ < kWindow) return;
  const std::chrono::duration<double> seconds = now - since_;
  if (waited_throughout_) CloseWindow(seconds.count());
  since_ = now;
  waited_throughout_ = work_waits;
  counts_ = {};
}

void CapacityMeter::CloseWindow(double seconds) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const double rate = counts_.at(i) / seconds;
    double& known_rate = rates_.at(i);
    known_rate = known_ ? known_rate + kNewest * (rate - known_rate) : rate;
  }
  known_ = true;
}

}  // namespace coltsfootfork

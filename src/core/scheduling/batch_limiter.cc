#include "core/scheduling/batch_limiter.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

constexpr double kInitialLimit = 8;
constexpr double kMinLimit = 2;
constexpr double kMaxLimit = 4096;
constexpr std::chrono::milliseconds kWindow{500};
// Minimum number of gaps for a window to be evaluated.
constexpr std::uint32_t kMinGapsPerWindow = 100;
// The target applies to 95 of 100 gaps.
constexpr double kMaxLateShare = 0.05;
// The limit may grow below this share of late gaps.
constexpr double kGrowthLateShare = 0.04;
constexpr double kDecreaseFactor = 0.96;
// The limit grows only while this share of it is in use.
constexpr double kMinUtilization = 0.8;
// When the batch has shrunk to the first ratio, the mean gap must have shrunk
// to the second, else the batch size is not the cause of late gaps.
constexpr double kProbeBatchRatio = 0.8;
constexpr double kUnchangedGapRatio = 0.95;
// Time during which the limit then grows instead, and its factor per window.
constexpr std::chrono::seconds kDecreaseSuspension{30};
constexpr double kSuspendedGrowth = 1.05;
constexpr double kSlowStartGrowth = 1.5;
// Time after the last urgent request during which the urgent target applies.
constexpr std::chrono::seconds kUrgentActivePeriod{30};

}  // namespace

BatchLimiter::BatchLimiter() : limit_(kInitialLimit), max_limit_(kMaxLimit) {}

void BatchLimiter::SetTarget(Rank rank, Duration target) {
  targets_.at(RankIndex(rank)) = target;
}

void BatchLimiter::SetServerMax(std::uint32_t server_max) {
  max_limit_ = server_max == 0 ? kMaxLimit : server_max;
  limit_ = std::min(limit_, max_limit_);
}

void BatchLimiter::OnRankActive(Rank rank, Time now) {
  if (rank != Rank::kUrgent) return;
  urgent_active_ = true;
  urgent_last_active_ = now;
}

Duration BatchLimiter::Target() const {
  const Duration urgent = targets_[RankIndex(Rank::kUrgent)];
  const Duration deferrable = targets_[RankIndex(Rank::kDeferrable)];
  return urgent_active_ ? std::min(urgent, deferrable) : deferrable;
}

void BatchLimiter::CountGap(Duration gap) {
  ++gaps_;
  gap_sum_ += static_cast<double>(gap.count());
  if (gap > Target()) ++late_gaps_;
}

void BatchLimiter::Observe(std::uint32_t running, Time now) {
  if (urgent_active_ && now - urgent_last_active_ > kUrgentActivePeriod) {
    urgent_active_ = false;
  }
  max_running_ = std::max(max_running_, running);
  if (now - window_start_ < kWindow || gaps_ < kMinGapsPerWindow) return;
  CloseWindow(max_running_, now);
  window_start_ = now;
  gaps_ = 0;
  late_gaps_ = 0;
  gap_sum_ = 0;
  max_running_ = running;
}

bool BatchLimiter::DecreaseIsIneffective(std::uint32_t running,
                                         double mean_gap) const {
  return probe_ && running <= kProbeBatchRatio * probe_->running &&
         mean_gap > kUnchangedGapRatio * probe_->mean_gap;
}

void BatchLimiter::Decrease(std::uint32_t running, double mean_gap, Time now) {
  if (DecreaseIsIneffective(running, mean_gap)) {
    limit_ = probe_->running;
    decrease_suspended_until_ = now + kDecreaseSuspension;
    probe_.reset();
    return;
  }
  const bool starts_probe =
      !probe_ || running <= kProbeBatchRatio * probe_->running;
  if (starts_probe) probe_ = Probe{running, mean_gap};
  slow_start_ = false;
  // Running requests continue, so only a limit below their number has effect.
  limit_ = std::min<double>(limit_, running) * kDecreaseFactor;
}

void BatchLimiter::CloseWindow(std::uint32_t running, Time now) {
  const double late_share = static_cast<double>(late_gaps_) / gaps_;
  const bool utilized = running >= kMinUtilization * limit_;
  if (late_share > kMaxLateShare && now >= decrease_suspended_until_) {
    Decrease(running, gap_sum_ / gaps_, now);
  } else if (late_share > kMaxLateShare) {
    if (utilized) limit_ *= kSuspendedGrowth;
  } else {
    probe_.reset();
    if (late_share < kGrowthLateShare && utilized) {
      limit_ = slow_start_ ? limit_ * kSlowStartGrowth : limit_ + 1;
    }
  }
  limit_ = std::clamp(limit_, kMinLimit, max_limit_);
}

}  // namespace coltsfootfork

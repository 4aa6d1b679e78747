#include "core/scheduling/batch_bound.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

constexpr double kFirstLimit = 8;
constexpr double kSmallestLimit = 2;
constexpr double kLargestLimit = 4096;
constexpr std::chrono::milliseconds kWindow{500};
// Gaps that a window needs before it counts.
constexpr std::uint32_t kFewestGaps = 100;
// The promise holds for 95 gaps in 100.
constexpr double kLateShare = 0.05;
// Below this share of late gaps the bound may grow.
constexpr double kGoodShare = 0.04;
constexpr double kDecrease = 0.96;
// The bound grows only while this much of it is in use.
constexpr double kUsed = 0.8;
// A batch this much smaller should have made the gap smaller than this much of
// what it was, else it is not the batch that makes gaps late.
constexpr double kProbedBatch = 0.8;
constexpr double kUnchangedGap = 0.95;
// How long the bound then grows instead, and by how much in each window.
constexpr std::chrono::seconds kPatience{30};
constexpr double kGrowthInVain = 1.05;
constexpr double kSlowStartGrowth = 1.5;
// How long after its last urgent request a server keeps to urgent gaps.
constexpr std::chrono::seconds kUrgentMemory{30};

}  // namespace

BatchBound::BatchBound() : limit_(kFirstLimit), most_(kLargestLimit) {}

void BatchBound::SetTarget(Rank rank, Duration target) {
  targets_.at(RankIndex(rank)) = target;
}

void BatchBound::SetMost(std::uint32_t most) {
  most_ = most == 0 ? kLargestLimit : most;
  limit_ = std::min(limit_, most_);
}

void BatchBound::SeeRank(Rank rank, Time now) {
  if (rank != Rank::kUrgent) return;
  urgent_lately_ = true;
  urgent_seen_ = now;
}

Duration BatchBound::Target() const {
  const Duration urgent = targets_[RankIndex(Rank::kUrgent)];
  const Duration deferrable = targets_[RankIndex(Rank::kDeferrable)];
  return urgent_lately_ ? std::min(urgent, deferrable) : deferrable;
}

void BatchBound::CountGap(Duration gap) {
  ++gaps_;
  gap_sum_ += static_cast<double>(gap.count());
  if (gap > Target()) ++late_gaps_;
}

void BatchBound::Observe(std::uint32_t running, Time now) {
  if (urgent_lately_ && now - urgent_seen_ > kUrgentMemory) {
    urgent_lately_ = false;
  }
  most_running_ = std::max(most_running_, running);
  if (now - window_ < kWindow || gaps_ < kFewestGaps) return;
  CloseWindow(most_running_, now);
  window_ = now;
  gaps_ = 0;
  late_gaps_ = 0;
  gap_sum_ = 0;
  most_running_ = running;
}

bool BatchBound::DecreaseIsInVain(std::uint32_t running,
                                  double mean_gap) const {
  return probe_ && running <= kProbedBatch * probe_->running &&
         mean_gap > kUnchangedGap * probe_->mean_gap;
}

void BatchBound::Decrease(std::uint32_t running, double mean_gap, Time now) {
  if (DecreaseIsInVain(running, mean_gap)) {
    limit_ = probe_->running;
    in_vain_until_ = now + kPatience;
    probe_.reset();
    return;
  }
  const bool begins = !probe_ || running <= kProbedBatch * probe_->running;
  if (begins) probe_ = Probe{running, mean_gap};
  slow_start_ = false;
  // The running requests go on: only a bound below them helps.
  limit_ = std::min<double>(limit_, running) * kDecrease;
}

void BatchBound::CloseWindow(std::uint32_t running, Time now) {
  const double late = static_cast<double>(late_gaps_) / gaps_;
  const bool used = running >= kUsed * limit_;
  if (late > kLateShare && now >= in_vain_until_) {
    Decrease(running, gap_sum_ / gaps_, now);
  } else if (late > kLateShare) {
    if (used) limit_ *= kGrowthInVain;
  } else {
    probe_.reset();
    if (late < kGoodShare && used) {
      limit_ = slow_start_ ? limit_ * kSlowStartGrowth : limit_ + 1;
    }
  }
  limit_ = std::clamp(limit_, kSmallestLimit, most_);
}

}  // namespace coltsfootfork

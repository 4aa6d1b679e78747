#include "core/scheduling/urgent_headroom.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

constexpr double kGrowthStep = 0.01;
constexpr double kMaxShare = 0.4;
constexpr double kDecayFactor = 0.998;
constexpr std::chrono::milliseconds kDecayInterval{500};

}  // namespace

void UrgentHeadroom::CountWait(Duration wait) {
  if (wait < significant_wait_) return;
  share_ = std::min(kMaxShare, share_ + kGrowthStep);
}

void UrgentHeadroom::Observe(Time now) {
  if (now - last_decay_ < kDecayInterval) return;
  share_ = std::max(min_share_, share_ * kDecayFactor);
  last_decay_ = now;
}

}  // namespace coltsfootfork

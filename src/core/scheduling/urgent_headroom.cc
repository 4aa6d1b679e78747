#include "core/scheduling/urgent_headroom.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

constexpr double kStep = 0.01;
constexpr double kLargest = 0.4;
constexpr double kDecay = 0.998;
constexpr std::chrono::milliseconds kInterval{500};

}  // namespace

void UrgentHeadroom::CountWait(Duration wait) {
  if (wait < significant_wait_) return;
  share_ = std::min(kLargest, share_ + kStep);
}

void UrgentHeadroom::Observe(Time now) {
  if (now - shrunk_ < kInterval) return;
  share_ = std::max(least_, share_ * kDecay);
  shrunk_ = now;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/anti_entropy_timer.h"

namespace coltsfootfork {

bool AntiEntropyTimer::ShouldRequestSync(bool differs, Time now) {
  if (!differs) {
    differs_since_.reset();
    return false;
  }
  if (!differs_since_) differs_since_ = now;
  const bool is_persistent = now >= *differs_since_ + kMinDivergence;
  if (!is_persistent ||
      (last_request_ && now < *last_request_ + kMinRequestInterval)) {
    return false;
  }
  last_request_ = now;
  return true;
}

}  // namespace coltsfootfork

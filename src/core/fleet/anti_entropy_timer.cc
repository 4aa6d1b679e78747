#include "coltsfootfork/core/fleet/anti_entropy_timer.h"

namespace coltsfootfork {

bool AntiEntropyTimer::ShouldAsk(bool differs, Time now) {
  if (!differs) {
    since_.reset();
    return false;
  }
  if (!since_) since_ = now;
  const bool lasts = now >= *since_ + kLasts;
  if (!lasts || (asked_ && now < *asked_ + kAskAgain)) return false;
  asked_ = now;
  return true;
}

}  // namespace coltsfootfork

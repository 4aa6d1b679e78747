#include "shell/clock/monotonic_now.h"

#include <time.h>

#include <chrono>

namespace coltsfootfork {

Time MonotonicNow() {
  // Unlike CLOCK_MONOTONIC it goes on while the host is suspended, so that a
  // suspended leader sees that its lease is over.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace coltsfootfork

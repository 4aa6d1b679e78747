#include "shell/clock/monotonic_now.h"

#include <time.h>

#include <chrono>

namespace coltsfootfork {

Time MonotonicNow() {
  // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the host is
  // suspended, so that a leader sees after a suspension that its lease has
  // expired.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace coltsfootfork

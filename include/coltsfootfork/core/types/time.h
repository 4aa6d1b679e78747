#pragma once

#include <chrono>
#include <cstdint>

namespace coltsfootfork {

// A clock type that only defines duration and time_point and has no now():
// decision functions receive the current time as an argument.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The C++ standard prescribes this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using Time = MonotonicClock::time_point;

// A duration in whole milliseconds, rounded down.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace coltsfootfork

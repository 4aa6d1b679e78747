#include "control_state/measure.h"

#include <malloc.h>

#include <algorithm>
#include <vector>

namespace coltsfootfork {

std::chrono::microseconds MedianTime(int runs,
                                     const std::function<void()>& function) {
  using Clock = std::chrono::steady_clock;
  std::vector<Clock::duration> times;
  for (int i = 0; i < runs; ++i) {
    const auto start = Clock::now();
    function();
    times.push_back(Clock::now() - start);
  }
  std::sort(times.begin(), times.end());
  return std::chrono::duration_cast<std::chrono::microseconds>(
      times[times.size() / 2]);
}

double InMilliseconds(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / 1e3;
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace coltsfootfork

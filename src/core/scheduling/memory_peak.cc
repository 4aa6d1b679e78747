#include "core/scheduling/memory_peak.h"

#include <algorithm>
#include <cstddef>

namespace coltsfootfork {

double PredictPeak(std::vector<MemoryUse> batch, double steps) {
  std::sort(batch.begin(), batch.end(),
            [](const MemoryUse& a, const MemoryUse& b) {
              return a.remaining > b.remaining;
            });
  double held = 0;
  double peak = 0;
  // Memory is highest just before one of the requests ends; then only those
  // with as much or more to make are left.
  for (std::size_t i = 0; i < batch.size(); ++i) {
    held += batch[i].held;
    const double left = static_cast<double>(i + 1);
    const double at = std::min(batch[i].remaining, steps);
    peak = std::max(peak, held + left * at);
  }
  return peak;
}

}  // namespace coltsfootfork

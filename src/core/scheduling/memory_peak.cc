#include "core/scheduling/memory_peak.h"

#include <algorithm>
#include <cstddef>

namespace coltsfootfork {

double PredictPeak(std::vector<MemoryUse> batch, double steps) {
  std::sort(batch.begin(), batch.end(),
            [](const MemoryUse& a, const MemoryUse& b) {
              return a.remaining > b.remaining;
            });
  double used_tokens = 0;
  double peak = 0;
  // Memory peaks just before one of the requests ends, when only the requests
  // with at least as many remaining tokens are running.
  for (std::size_t i = 0; i < batch.size(); ++i) {
    used_tokens += batch[i].current_tokens;
    const double unfinished = static_cast<double>(i + 1);
    const double step = std::min(batch[i].remaining, steps);
    peak = std::max(peak, used_tokens + unfinished * step);
  }
  return peak;
}

}  // namespace coltsfootfork

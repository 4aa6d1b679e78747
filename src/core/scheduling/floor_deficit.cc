#include "core/scheduling/floor_deficit.h"

#include <algorithm>

namespace coltsfootfork {

bool FloorDeficit::IsDeferrableDue(const BatchShare& batch,
                                   double next_tokens) const {
  if (floor_ <= 0) return false;
  // Only whole batch slots count; fractions accumulate in the deficit.
  const double deficit_slots = deficit_ / std::max(1.0, next_tokens);
  const double slots = floor_ * (batch.running + 1.0) + deficit_slots;
  return batch.deferrable + 1.0 <= slots;
}

void FloorDeficit::CountOutputTokens(Rank rank, double tokens,
                                     double next_tokens) {
  deficit_ += floor_ * tokens;
  if (rank == Rank::kDeferrable) deficit_ -= tokens;
  deficit_ = std::max(deficit_, -std::max(1.0, next_tokens));
}

}  // namespace coltsfootfork

#include "core/scheduling/floor_ledger.h"

#include <algorithm>

namespace coltsfootfork {

bool FloorLedger::DeferrableDue(const BatchShare& batch,
                                double next_tokens) const {
  if (floor_ <= 0) return false;
  // Whole places only: the rest of a place builds up in what is owed.
  const double owed_places = owed_ / std::max(1.0, next_tokens);
  const double places = floor_ * (batch.running + 1.0) + owed_places;
  return batch.deferrable + 1.0 <= places;
}

void FloorLedger::CountMade(Rank rank, double tokens, double next_tokens) {
  owed_ += floor_ * tokens;
  if (rank == Rank::kDeferrable) owed_ -= tokens;
  owed_ = std::max(owed_, -std::max(1.0, next_tokens));
}

}  // namespace coltsfootfork

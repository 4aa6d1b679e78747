#include "core/scheduling/floor_ledger.h"

namespace coltsfootfork {

void FloorLedger::Charge(Rank rank, double tokens) {
  owed_ += floor_ * tokens;
  if (rank == Rank::kDeferrable) owed_ -= tokens;
}

}  // namespace coltsfootfork

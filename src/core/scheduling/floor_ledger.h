#pragma once

#include "coltsfootfork/core/types/rank.h"

namespace coltsfootfork {

// Keeps the deferrable rank's floor while both ranks want more than there is.
// Counts tokens of work handed over during that contention: what deferrable
// work got otherwise neither helps nor harms it.
class FloorLedger {
 public:
  // `floor` is the share of tokens, from 0 to 1.
  void SetFloor(double floor) { floor_ = floor; }
  double floor() const { return floor_; }

  // Whether the next hand-over belongs to deferrable work.
  bool DeferrableDue() const { return owed_ > 0; }

  // Counts tokens of one rank, or takes them back with a negative number.
  void Charge(Rank rank, double tokens);

  // Ends the contention: no credit and no debt is kept.
  void Reset() { owed_ = 0; }

 private:
  double floor_ = 0;
  // Tokens that deferrable work is short of its share.
  double owed_ = 0;
};

}  // namespace coltsfootfork

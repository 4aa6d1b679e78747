#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/rank.h"

namespace coltsfootfork {

// How many requests run, and how many of them are deferrable.
struct BatchShare {
  std::uint32_t running = 0;
  std::uint32_t deferrable = 0;
};

// Keeps the deferrable rank's floor while both ranks want more than there is.
// Each running request makes a token a step, so the rank's share of the batch
// is its share of tokens at once; what rounding and prefill take from it is
// made good from a count of the tokens really made. It needs no predicted
// length.
class FloorDeficit {
 public:
  // `floor` is the share of tokens, from 0 to 1.
  void SetFloor(double floor) { floor_ = floor; }
  double floor() const { return floor_; }

  // Whether the next hand-over belongs to deferrable work, whose next request
  // is expected to make `next_tokens`.
  bool IsDeferrableDue(const BatchShare& batch, double next_tokens) const;

  // Counts tokens made while both ranks have waiting work.
  void CountOutputTokens(Rank rank, double tokens, double next_tokens);

  // Ends the contention: no credit and no debt is kept.
  void Reset() { deficit_ = 0; }

 private:
  double floor_ = 0;
  // Tokens that deferrable work is short of its share. Tokens that it made
  // beyond its share, since streams from before the flood go on, are not
  // taken back from it, but for one request's worth.
  double deficit_ = 0;
};

}  // namespace coltsfootfork

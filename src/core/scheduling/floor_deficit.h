#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/rank.h"

namespace coltsfootfork {

// Number of running requests, and of deferrable ones among them.
struct BatchShare {
  std::uint32_t running = 0;
  std::uint32_t deferrable = 0;
};

// Enforces the minimum token share (floor) of the deferrable rank while both
// ranks have queued requests. Each running request generates one token per
// step, so the rank's share of the batch is its share of tokens. A deficit
// counter of generated tokens compensates for rounding and prefill, without
// length predictions.
class FloorDeficit {
 public:
  // `floor` is a share of tokens, from 0 to 1.
  void SetFloor(double floor) { floor_ = floor; }
  double floor() const { return floor_; }

  // True when the floor requires that the next dispatch is deferrable. The next
  // deferrable request is expected to generate `next_tokens`.
  bool IsDeferrableDue(const BatchShare& batch, double next_tokens) const;

  // Counts tokens generated while both ranks have queued requests.
  void CountOutputTokens(Rank rank, double tokens, double next_tokens);

  // Clears credit and deficit at the end of contention.
  void Reset() { deficit_ = 0; }

 private:
  double floor_ = 0;
  // Tokens by which deferrable work is below its share. A surplus, as from
  // streams that started before the contention, is limited to the tokens of one
  // request, so that deferrable work does not have to repay it.
  double deficit_ = 0;
};

}  // namespace coltsfootfork

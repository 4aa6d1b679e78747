#pragma once

#include <vector>

namespace coltsfootfork {

// Current and expected KV cache use of one request.
struct MemoryUse {
  // Prompt and output tokens in the cache now.
  double current_tokens = 0;
  // Output tokens still to be generated; each stays cached until the end.
  double remaining = 0;
};

// Peak memory use of a batch in tokens within the next `steps`, if each request
// generates one token per step and frees its memory at its end.
double PredictPeak(std::vector<MemoryUse> batch, double steps);

}  // namespace coltsfootfork

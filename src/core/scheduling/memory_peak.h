#pragma once

#include <vector>

namespace coltsfootfork {

// What one running request holds of key/value memory, and will come to hold.
struct MemoryUse {
  // Tokens of prompt and output that are held now.
  double current_tokens = 0;
  // Tokens still to be made, each held until the end.
  double remaining = 0;
};

// The most memory in tokens that a batch takes within the next `steps`, when
// each request makes a token a step and gives its memory back at its end.
double PredictPeak(std::vector<MemoryUse> batch, double steps);

}  // namespace coltsfootfork

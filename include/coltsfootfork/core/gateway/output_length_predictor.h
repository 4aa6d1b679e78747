#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace coltsfootfork {

// Predicts output lengths. Callers' estimates are correct at the median and
// often far off, so a prediction combines the estimate with the observed
// outputs of the route, as fractions of the requested maximum.
class OutputLengthPredictor {
 public:
  // Returns the predicted output tokens of a call, at most `max_tokens`.
  std::uint64_t Predict(const std::string& route, std::uint64_t max_tokens,
                        std::optional<std::uint64_t> estimate) const;
  // Records the output length of a completed response.
  void OnCompleted(const std::string& route, std::uint64_t max_tokens,
                   std::uint64_t output_tokens);

 private:
  // By route: exponential moving average of log(output / maximum).
  std::map<std::string, double> log_fractions_;
};

// Returns the new prediction for a call that has produced `output_tokens` so
// far.
std::uint64_t RaisePrediction(std::uint64_t predicted,
                              std::uint64_t output_tokens,
                              std::uint64_t max_tokens);

}  // namespace coltsfootfork

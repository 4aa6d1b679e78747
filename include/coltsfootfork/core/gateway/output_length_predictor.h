#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace coltsfootfork {

// How long answers become. Callers' own estimates are right at the median and
// often far off, so an expectation lies between the estimate and what answers
// of the route have come to, as parts of the most that was asked for.
class OutputLengthPredictor {
 public:
  // Output tokens that a call is expected to come to, at most `most`.
  std::uint64_t Predict(const std::string& route, std::uint64_t max_tokens,
                        std::optional<std::uint64_t> estimate) const;
  // An answer has come to its end.
  void OnCompleted(const std::string& route, std::uint64_t max_tokens,
                   std::uint64_t output_tokens);

 private:
  // Mean of the logarithms of the parts, the newest weighing most.
  std::map<std::string, double> log_fractions_;
};

// The output that a call is expected to come to once it has made so much of it.
std::uint64_t RaisePrediction(std::uint64_t predicted,
                              std::uint64_t output_tokens,
                              std::uint64_t max_tokens);

}  // namespace coltsfootfork

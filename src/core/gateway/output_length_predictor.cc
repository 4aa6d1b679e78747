#include "coltsfootfork/core/gateway/output_length_predictor.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

// Used until the first response of a route completes.
constexpr double kInitialFraction = 0.5;
constexpr double kSmoothing = 0.05;
// Estimates scatter by a factor of three around the actual lengths, which
// scatter by somewhat less around their median. The weights are in inverse
// proportion to the scatter.
constexpr double kEstimateWeight = 0.4;
// Approximate ratio of the arithmetic mean to the geometric mean.
constexpr double kMeanToGeometricMean = 1.25;
// A call that exceeds its prediction is expected to continue for a while.
constexpr double kOverrunFactor = 1.25;

double LogOf(double value) { return std::log(std::max(value, 1.0)); }

std::uint64_t RoundUpCapped(std::uint64_t max_tokens, double value) {
  return std::min(max_tokens, static_cast<std::uint64_t>(std::ceil(value)));
}

}  // namespace

std::uint64_t OutputLengthPredictor::Predict(
    const std::string& route, std::uint64_t max_tokens,
    std::optional<std::uint64_t> estimate) const {
  if (max_tokens == 0) return 0;
  const auto max_output = static_cast<double>(max_tokens);
  const auto found = log_fractions_.find(route);
  const double log_fraction = found == log_fractions_.end()
                                  ? std::log(kInitialFraction)
                                  : found->second;
  double log_output = LogOf(max_output) + log_fraction;
  if (estimate) {
    log_output = kEstimateWeight * LogOf(static_cast<double>(*estimate)) +
                 (1 - kEstimateWeight) * log_output;
  }
  return RoundUpCapped(max_tokens, std::exp(log_output) * kMeanToGeometricMean);
}

void OutputLengthPredictor::OnCompleted(const std::string& route,
                                        std::uint64_t max_tokens,
                                        std::uint64_t output_tokens) {
  if (max_tokens == 0 || output_tokens == 0) return;
  const double log_fraction =
      std::min(0.0, std::log(static_cast<double>(output_tokens) /
                             static_cast<double>(max_tokens)));
  const auto [mean, is_new] = log_fractions_.try_emplace(route, log_fraction);
  if (!is_new) mean->second += kSmoothing * (log_fraction - mean->second);
}

std::uint64_t RaisePrediction(std::uint64_t predicted,
                              std::uint64_t output_tokens,
                              std::uint64_t max_tokens) {
  if (output_tokens <= predicted) return predicted;
  return std::max(output_tokens,
                  RoundUpCapped(max_tokens, static_cast<double>(output_tokens) *
                                                kOverrunFactor));
}

}  // namespace coltsfootfork

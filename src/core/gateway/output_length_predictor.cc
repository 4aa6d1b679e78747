#include "coltsfootfork/core/gateway/output_length_predictor.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

// Before any answer of a route has ended.
constexpr double kFirstPart = 0.5;
constexpr double kNewestWeight = 0.05;
// Estimates scatter by a factor of three around what comes, and what comes by
// somewhat less around its middle: each is believed by the other's scatter.
constexpr double kEstimateWeight = 0.4;
// A mean of logarithms falls short of the mean by about this factor.
constexpr double kMeanOverMiddle = 1.25;
// What has passed its expectation goes on for a while.
constexpr double kGoesOn = 1.25;

double LogOf(double value) { return std::log(std::max(value, 1.0)); }

std::uint64_t UpTo(std::uint64_t most, double value) {
  return std::min(most, static_cast<std::uint64_t>(std::ceil(value)));
}

}  // namespace

std::uint64_t OutputLengthPredictor::Predict(
    const std::string& route, std::uint64_t most,
    std::optional<std::uint64_t> estimate) const {
  if (most == 0) return 0;
  const auto whole = static_cast<double>(most);
  const auto found = log_parts_.find(route);
  const double log_part =
      found == log_parts_.end() ? std::log(kFirstPart) : found->second;
  double log_output = LogOf(whole) + log_part;
  if (estimate) {
    log_output = kEstimateWeight * LogOf(static_cast<double>(*estimate)) +
                 (1 - kEstimateWeight) * log_output;
  }
  return UpTo(most, std::exp(log_output) * kMeanOverMiddle);
}

void OutputLengthPredictor::OnCompleted(const std::string& route,
                                        std::uint64_t most,
                                        std::uint64_t made) {
  if (most == 0 || made == 0) return;
  const double log_part = std::min(
      0.0, std::log(static_cast<double>(made) / static_cast<double>(most)));
  const auto [known, is_new] = log_parts_.try_emplace(route, log_part);
  if (!is_new) known->second += kNewestWeight * (log_part - known->second);
}

std::uint64_t RaisePrediction(std::uint64_t expected, std::uint64_t made,
                              std::uint64_t most) {
  if (made <= expected) return expected;
  return std::max(made, UpTo(most, static_cast<double>(made) * kGoesOn));
}

}  // namespace coltsfootfork

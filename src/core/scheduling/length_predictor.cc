#include "core/scheduling/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

constexpr int kBins = 51;
constexpr float kMinTokens = 1.0F;
constexpr float kMaxTokens = 131072.0F;
// Growth of the weight per sample; older samples decay relative to it.
constexpr double kSampleWeightGrowth = 1.0 / 0.998;
constexpr double kMaxSampleWeight = 1e6;
// Minimum weight in samples of a histogram that is used for predictions.
constexpr double kMinTrustedWeight = 16;
// Mean length in tokens assumed for an unknown service.
constexpr double kPriorMeanLength = 256;

double ClampLength(double length, std::uint32_t generated_tokens,
                   std::uint32_t max_output) {
  const double min_length = static_cast<double>(generated_tokens) + 1;
  if (max_output == 0) return std::max(length, min_length);
  return std::max(std::min(length, static_cast<double>(max_output)),
                  min_length);
}

}  // namespace

LengthHistogram::LengthHistogram()
    : histogram_(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<float>(),
          Axis(kBins, kMinTokens, kMaxTokens))) {}

void LengthHistogram::Add(std::uint32_t tokens) {
  const float length =
      std::clamp(static_cast<float>(tokens), kMinTokens, kMaxTokens - 1);
  histogram_(length,
             boost::histogram::weight(static_cast<float>(sample_weight_)));
  weight_ += sample_weight_;
  sample_weight_ *= kSampleWeightGrowth;
  if (sample_weight_ > kMaxSampleWeight) Rescale();
}

void LengthHistogram::Rescale() {
  histogram_ *= static_cast<float>(1.0 / sample_weight_);
  weight_ /= sample_weight_;
  sample_weight_ = 1.0;
}

double LengthHistogram::WeightOfBinAbove(int bin,
                                         double generated_tokens) const {
  const auto range = histogram_.axis().bin(bin);
  if (range.upper() <= generated_tokens) return 0;
  const double weight = histogram_.at(bin);
  if (range.lower() >= generated_tokens) return weight;
  // Assumes a uniform distribution within the bin.
  return weight * (range.upper() - generated_tokens) /
         (range.upper() - range.lower());
}

double LengthHistogram::WeightAbove(std::uint32_t generated_tokens) const {
  double weight_above = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    weight_above += WeightOfBinAbove(bin, generated_tokens);
  }
  return weight_above / sample_weight_;
}

double LengthHistogram::QuantileAbove(std::uint32_t generated_tokens,
                                      double share) const {
  double remaining_weight =
      share * WeightAbove(generated_tokens) * sample_weight_;
  double last = generated_tokens;
  for (int bin = 0; bin < kBins; ++bin) {
    const double weight = WeightOfBinAbove(bin, generated_tokens);
    if (weight <= 0) continue;
    const auto range = histogram_.axis().bin(bin);
    const double lower = std::max<double>(range.lower(), generated_tokens);
    last = range.upper();
    if (weight >= remaining_weight) {
      return lower + (last - lower) * remaining_weight / weight;
    }
    remaining_weight -= weight;
  }
  return last;
}

double LengthHistogram::MeanAbove(std::uint32_t generated_tokens) const {
  double sum = 0;
  double weights = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    const double weight = WeightOfBinAbove(bin, generated_tokens);
    const auto range = histogram_.axis().bin(bin);
    const double lower = std::max<double>(range.lower(), generated_tokens);
    sum += weight * (lower + range.upper()) / 2;
    weights += weight;
  }
  return weights > 0 ? sum / weights : generated_tokens;
}

std::size_t LengthPredictor::KeyHash::operator()(
    const Key& key) const noexcept {
  const std::size_t service = std::hash<ServiceId>()(key.service);
  return service * 31 + std::hash<WorkspaceId>()(key.workspace);
}

LengthPredictor::LengthPredictor(std::size_t max_workspaces)
    : max_workspaces_(max_workspaces) {}

LengthHistogram& LengthPredictor::HistogramFor(const Key& key) {
  const auto found = by_workspace_.find(key);
  if (found != by_workspace_.end()) {
    lru_.splice(lru_.end(), lru_, found->second.lru_position);
    return found->second.lengths;
  }
  if (by_workspace_.size() >= max_workspaces_) {
    by_workspace_.erase(lru_.front());
    lru_.pop_front();
  }
  Entry& entry = by_workspace_[key];
  entry.lru_position = lru_.insert(lru_.end(), key);
  return entry.lengths;
}

void LengthPredictor::Record(const ServiceId& service,
                             const WorkspaceId& workspace,
                             std::uint32_t tokens) {
  HistogramFor({service, workspace}).Add(tokens);
  by_service_[service].Add(tokens);
}

const LengthHistogram* LengthPredictor::ChooseHistogram(
    const ServiceId& service, const WorkspaceId& workspace,
    std::uint32_t generated_tokens) const {
  const auto of_workspace = by_workspace_.find({service, workspace});
  if (of_workspace != by_workspace_.end() &&
      of_workspace->second.lengths.weight() >= kMinTrustedWeight &&
      of_workspace->second.lengths.WeightAbove(generated_tokens) >= 1) {
    return &of_workspace->second.lengths;
  }
  const auto of_service = by_service_.find(service);
  if (of_service != by_service_.end() &&
      of_service->second.weight() >= kMinTrustedWeight &&
      of_service->second.WeightAbove(generated_tokens) >= 1) {
    return &of_service->second;
  }
  return nullptr;
}

double LengthPredictor::Remaining(const ServiceId& service,
                                  const WorkspaceId& workspace,
                                  std::uint32_t generated_tokens,
                                  std::uint32_t max_output,
                                  double share) const {
  const LengthHistogram* lengths =
      ChooseHistogram(service, workspace, generated_tokens);
  // Longer than all recent samples: expects as many tokens again as generated.
  const double length =
      lengths != nullptr ? lengths->QuantileAbove(generated_tokens, share)
                         : std::max(kPriorMeanLength, 2.0 * generated_tokens);
  return ClampLength(length, generated_tokens, max_output) - generated_tokens;
}

double LengthPredictor::MeanLength(const ServiceId& service,
                                   const WorkspaceId& workspace,
                                   std::uint32_t max_output) const {
  const LengthHistogram* lengths = ChooseHistogram(service, workspace, 0);
  const double length =
      lengths != nullptr ? lengths->MeanAbove(0) : kPriorMeanLength;
  return ClampLength(length, 0, max_output);
}

}  // namespace coltsfootfork

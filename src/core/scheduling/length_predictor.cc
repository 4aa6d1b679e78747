#include "core/scheduling/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

constexpr int kBins = 51;
constexpr float kShortest = 1.0F;
constexpr float kLongest = 131072.0F;
// Each sample makes the older ones weigh this much more than before.
constexpr double kGrowth = 1.0 / 0.998;
constexpr double kLargestUnit = 1e6;
// Samples that a histogram needs before its word counts.
constexpr double kTrustedWeight = 16;
// The mean length expected of a service that was never seen.
constexpr double kPriorLength = 256;

double Capped(double length, std::uint32_t generated_tokens,
              std::uint32_t max_output) {
  const double least = static_cast<double>(generated_tokens) + 1;
  if (max_output == 0) return std::max(length, least);
  return std::max(std::min(length, static_cast<double>(max_output)), least);
}

}  // namespace

LengthHistogram::LengthHistogram()
    : histogram_(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<float>(),
          Axis(kBins, kShortest, kLongest))) {}

void LengthHistogram::Add(std::uint32_t tokens) {
  const float length =
      std::clamp(static_cast<float>(tokens), kShortest, kLongest - 1);
  histogram_(length, boost::histogram::weight(static_cast<float>(unit_)));
  weight_ += unit_;
  unit_ *= kGrowth;
  if (unit_ > kLargestUnit) Rescale();
}

void LengthHistogram::Rescale() {
  histogram_ *= static_cast<float>(1.0 / unit_);
  weight_ /= unit_;
  unit_ = 1.0;
}

double LengthHistogram::WeightOfBinAbove(int bin,
                                         double generated_tokens) const {
  const auto range = histogram_.axis().bin(bin);
  if (range.upper() <= generated_tokens) return 0;
  const double weight = histogram_.at(bin);
  if (range.lower() >= generated_tokens) return weight;
  // Lengths lie evenly within a bin.
  return weight * (range.upper() - generated_tokens) /
         (range.upper() - range.lower());
}

double LengthHistogram::WeightAbove(std::uint32_t generated_tokens) const {
  double above = 0;
  for (int bin = 0; bin < kBins; ++bin)
    above += WeightOfBinAbove(bin, generated_tokens);
  return above / unit_;
}

double LengthHistogram::QuantileAbove(std::uint32_t generated_tokens,
                                      double share) const {
  double left = share * WeightAbove(generated_tokens) * unit_;
  double last = generated_tokens;
  for (int bin = 0; bin < kBins; ++bin) {
    const double weight = WeightOfBinAbove(bin, generated_tokens);
    if (weight <= 0) continue;
    const auto range = histogram_.axis().bin(bin);
    const double lower = std::max<double>(range.lower(), generated_tokens);
    last = range.upper();
    if (weight >= left) return lower + (last - lower) * left / weight;
    left -= weight;
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

LengthHistogram& LengthPredictor::OfWorkspace(const Key& key) {
  const auto found = by_workspace_.find(key);
  if (found != by_workspace_.end()) {
    use_.splice(use_.end(), use_, found->second.use);
    return found->second.lengths;
  }
  if (by_workspace_.size() >= max_workspaces_) {
    by_workspace_.erase(use_.front());
    use_.pop_front();
  }
  Entry& entry = by_workspace_[key];
  entry.use = use_.insert(use_.end(), key);
  return entry.lengths;
}

void LengthPredictor::Record(const ServiceId& service,
                             const WorkspaceId& workspace,
                             std::uint32_t tokens) {
  OfWorkspace({service, workspace}).Add(tokens);
  by_service_[service].Add(tokens);
}

const LengthHistogram* LengthPredictor::Choose(
    const ServiceId& service, const WorkspaceId& workspace,
    std::uint32_t generated_tokens) const {
  const auto own = by_workspace_.find({service, workspace});
  if (own != by_workspace_.end() &&
      own->second.lengths.weight() >= kTrustedWeight &&
      own->second.lengths.WeightAbove(generated_tokens) >= 1) {
    return &own->second.lengths;
  }
  const auto of_service = by_service_.find(service);
  if (of_service != by_service_.end() &&
      of_service->second.weight() >= kTrustedWeight &&
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
  const LengthHistogram* lengths = Choose(service, workspace, generated_tokens);
  // Longer than all seen lately: as much again as it has made.
  const double length = lengths != nullptr
                            ? lengths->QuantileAbove(generated_tokens, share)
                            : std::max(kPriorLength, 2.0 * generated_tokens);
  return Capped(length, generated_tokens, max_output) - generated_tokens;
}

double LengthPredictor::MeanLength(const ServiceId& service,
                                   const WorkspaceId& workspace,
                                   std::uint32_t max_output) const {
  const LengthHistogram* lengths = Choose(service, workspace, 0);
  const double length =
      lengths != nullptr ? lengths->MeanAbove(0) : kPriorLength;
  return Capped(length, 0, max_output);
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/server_performance.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfootfork {
namespace {

constexpr std::size_t kNumbersPerServer = 1 + kOccupancyBands;
// See PerformanceTotals.
constexpr std::size_t kMaxServers = 2048;
// A slow server still gets calls, so that its recovery shows.
constexpr double kMinSlowness = 0.6;
constexpr double kMaxSlowness = 3;
// Load from which a fast server's advantage fades out.
constexpr double kNearlyFull = 0.75;
// Equal servers appear to differ by up to this factor through noise and through
// different occupancy within a band.
constexpr double kDeadBand = 1.35;
// Prefills differ more than pauses, since several steps add up.
constexpr double kMinPrefillRatio = 0.4;
constexpr double kMaxPrefillRatio = 4;
// Longer prefill times are malformed: 50 ms per token.
constexpr std::uint64_t kMaxPrefill = 50000;
// All pauses are late.
constexpr auto kMaxLateShare =
    1 + static_cast<std::uint64_t>(1 / kLateShareUnit);
// Fewer servers have no meaningful median.
constexpr std::size_t kMinServers = 3;
// Longer than entries need to subscribe again after their control process was
// lost.
constexpr Duration kRetention = std::chrono::seconds(30);

double Weighed(double ratio) {
  if (ratio < kDeadBand && ratio * kDeadBand > 1) return 1;
  return std::clamp(ratio, kMinSlowness, kMaxSlowness);
}

}  // namespace

double Slowness::ScaledLoad(double load, OccupancyBand band) const {
  const double slowness = At(band);
  if (slowness >= 1) return load * slowness;
  const double nearly_full =
      std::clamp((load - kNearlyFull) / (1 - kNearlyFull), 0.0, 1.0);
  return load * (slowness + (1 - slowness) * nearly_full);
}

double Slowness::LatePauseRisk(std::uint64_t events) const {
  if (excess_late_pauses == 0) return 0;
  return 1 - std::exp(-ExcessLatePauses(events));
}

double Slowness::CapacityDivisor(OccupancyBand band) const {
  return std::max(1.0, At(band));
}

void LearnedPerformance::Apply(const EncodedPauses& changes, Time now) {
  heard_at_ = now;
  if (changes.size() % kNumbersPerServer != 0) return;
  for (std::size_t i = 0; i < changes.size(); i += kNumbersPerServer) {
    const auto key = static_cast<ServerKey>(changes[i]);
    Pauses pauses{};
    std::copy_n(changes.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                kOccupancyBands, pauses.begin());
    if (pauses == Pauses{}) {
      pauses_.erase(key);
    } else if (pauses_.size() < kMaxServers || pauses_.count(key) > 0) {
      pauses_[key] = pauses;
    }
  }
}

void LearnedPerformance::ApplyLatencies(const EncodedLatencies& changes) {
  if (changes.size() % kNumbersPerLatency != 0) return;
  for (std::size_t i = 0; i < changes.size(); i += kNumbersPerLatency) {
    const auto key = static_cast<ServerKey>(changes[i]);
    const Latency latency{std::min(changes[i + 1], kMaxPrefill),
                          std::min(changes[i + 2], kMaxLateShare)};
    if (latency.prefill == 0 && latency.late_share == 0) {
      latencies_.erase(key);
    } else if (latencies_.size() < kMaxServers || latencies_.count(key) > 0) {
      latencies_[key] = latency;
    }
  }
}

bool LearnedPerformance::Expire(Time now) {
  if (pauses_.empty() && latencies_.empty()) return false;
  if (now < heard_at_ + kRetention) return false;
  pauses_.clear();
  latencies_.clear();
  return true;
}

void LearnedPerformance::Update(
    const std::vector<PerformanceSubject>& servers) const {
  UpdatePauses(servers);
  UpdatePrefills(servers);
  UpdateLatePauses(servers);
}

LearnedPerformance::Latency LearnedPerformance::LatencyOf(
    const PerformanceSubject& server) const {
  const auto found = latencies_.find(server.key);
  return found == latencies_.end() ? Latency() : found->second;
}

void LearnedPerformance::UpdateLatePauses(
    const std::vector<PerformanceSubject>& servers) const {
  std::map<ServiceId, std::vector<std::uint64_t>> known;
  for (const PerformanceSubject& server : servers) {
    const std::uint64_t share = LatencyOf(server).late_share;
    if (share > 0) known[server.service].push_back(share);
  }
  for (auto& [service, shares] : known) std::sort(shares.begin(), shares.end());
  for (const PerformanceSubject& server : servers) {
    server.slowness->excess_late_pauses = 0;
    const auto found = known.find(server.service);
    if (found == known.end() || found->second.size() < kMinServers) continue;
    const std::vector<std::uint64_t>& shares = found->second;
    std::uint64_t share = LatencyOf(server).late_share;
    if (share == 0) share = shares[shares.size() / 2];
    const std::uint64_t best = shares[shares.size() / 4];
    if (share <= best) continue;
    server.slowness->excess_late_pauses =
        static_cast<double>(share - best) * kLateShareUnit;
  }
}

void LearnedPerformance::UpdatePrefills(
    const std::vector<PerformanceSubject>& servers) const {
  std::map<ServiceId, std::vector<std::uint64_t>> known;
  for (const PerformanceSubject& server : servers) {
    const std::uint64_t prefill = LatencyOf(server).prefill;
    if (prefill > 0) known[server.service].push_back(prefill);
  }
  std::map<ServiceId, std::uint64_t> medians;
  for (auto& [service, prefills] : known) {
    if (prefills.size() < kMinServers) continue;
    const auto middle =
        prefills.begin() + static_cast<std::ptrdiff_t>(prefills.size() / 2);
    std::nth_element(prefills.begin(), middle, prefills.end());
    medians[service] = *middle;
  }
  for (const PerformanceSubject& server : servers) {
    const auto median = medians.find(server.service);
    const bool has_median = median != medians.end();
    std::uint64_t prefill = LatencyOf(server).prefill;
    Slowness& slowness = *server.slowness;
    slowness.prefill = prefill == 0 || !has_median
                           ? 1
                           : std::clamp(static_cast<double>(prefill) /
                                            static_cast<double>(median->second),
                                        kMinPrefillRatio, kMaxPrefillRatio);
    if (prefill == 0 && has_median) prefill = median->second;
    slowness.prefill_per_token =
        prefill == 0 ? kAssumedPrefillPerToken
                     : static_cast<Duration::rep>(prefill) * kPrefillUnit;
  }
}

void LearnedPerformance::UpdatePauses(
    const std::vector<PerformanceSubject>& servers) const {
  std::array<std::map<ServiceId, std::vector<std::uint64_t>>, kOccupancyBands>
      known;
  for (const PerformanceSubject& server : servers) {
    const auto found = pauses_.find(server.key);
    if (found == pauses_.end()) continue;
    for (std::size_t band = 0; band < kOccupancyBands; ++band) {
      const std::uint64_t pause = found->second.at(band);
      if (pause > 0) known.at(band)[server.service].push_back(pause);
    }
  }
  const auto ratio = [&](const PerformanceSubject& server,
                         std::size_t band) -> std::optional<double> {
    const auto found = pauses_.find(server.key);
    if (found == pauses_.end() || found->second.at(band) == 0) {
      return std::nullopt;
    }
    const std::vector<std::uint64_t>& all = known.at(band).at(server.service);
    if (all.size() < kMinServers) return std::nullopt;
    return static_cast<double>(found->second.at(band)) /
           static_cast<double>(all[all.size() / 2]);
  };
  for (auto& services : known) {
    for (auto& [service, pauses] : services) {
      std::sort(pauses.begin(), pauses.end());
    }
  }
  for (const PerformanceSubject& server : servers) {
    const auto low = ratio(server, 0);
    const auto high = ratio(server, 1);
    // A server that is avoided is known in one band only.
    server.slowness->by_band = {Weighed(low ? *low : high.value_or(1)),
                                Weighed(high ? *high : low.value_or(1))};
  }
}

std::optional<PerformancePolicy> ParsePerformancePolicy(
    const std::string& name) {
  if (name == "ignored") return IgnorePerformance{};
  if (name == "learned") return LearnedPerformance{};
  return std::nullopt;
}

}  // namespace coltsfootfork

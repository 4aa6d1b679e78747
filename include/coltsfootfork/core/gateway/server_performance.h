#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/fleet/latency_feed.h"
#include "coltsfootfork/core/fleet/performance_feed.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Prefill time per token of servers of which none is known, as measured on the
// engines of the deployments at the normal speed.
constexpr Duration kAssumedPrefillPerToken = std::chrono::microseconds(150);

// How much slower than the median of its service's servers a server is.
struct Slowness {
  // By the pauses in each occupancy band; 1 if unknown.
  std::array<double, kOccupancyBands> by_band{1, 1};
  // By the prefill time per token; 1 if unknown.
  double prefill = 1;
  // The learned prefill time per token or, if unknown, the median of the
  // service's servers; kAssumedPrefillPerToken if that is unknown as well.
  Duration prefill_per_token = kAssumedPrefillPerToken;
  // By how much the server's share of late pauses exceeds that of the best
  // quarter of the service's servers; the median if unknown.
  double excess_late_pauses = 0;

  double At(OccupancyBand band) const {
    return by_band.at(static_cast<std::size_t>(band));
  }
  // Returns the load for comparisons with other servers. A fast server that is
  // nearly full counts like others, so that entries with the same view do not
  // all choose its last slots.
  double ScaledLoad(double load, OccupancyBand band) const;
  // Returns the number of late pauses that a stream of so many events has more
  // here than at the best servers, and the probability that it has any of them.
  double ExcessLatePauses(std::uint64_t events) const {
    return excess_late_pauses * static_cast<double>(events);
  }
  double LatePauseRisk(std::uint64_t events) const;
  // The factor by which the capacity for new calls shrinks. A fast server gets
  // no more than its slots and its memory.
  double CapacityDivisor(OccupancyBand band) const;
};

struct PerformanceSubject {
  ServerKey key = 0;
  ServiceId service;
  Slowness* slowness = nullptr;
};

// Baseline: all servers of a service are taken to be equally fast.
struct IgnorePerformance {
  void Apply(const EncodedPauses& /*changes*/, Time /*now*/) {}
  void ApplyLatencies(const EncodedLatencies& /*changes*/) {}
  bool Expire(Time /*now*/) { return false; }
  void Update(const std::vector<PerformanceSubject>& /*servers*/) const {}
};

// Knows the mean pauses and the latencies that control has published.
class LearnedPerformance {
 public:
  // Malformed input is ignored. Called for each message of control, also
  // without changes.
  void Apply(const EncodedPauses& changes, Time now);
  void ApplyLatencies(const EncodedLatencies& changes);
  // Forgets everything when control has been silent for long. Returns true if
  // that changed anything.
  bool Expire(Time now);
  void Update(const std::vector<PerformanceSubject>& servers) const;

 private:
  using Pauses = std::array<std::uint64_t, kOccupancyBands>;
  struct Latency {
    // As in EncodedLatencies.
    std::uint64_t prefill = 0;
    std::uint64_t late_share = 0;
  };
  void UpdatePauses(const std::vector<PerformanceSubject>& servers) const;
  void UpdatePrefills(const std::vector<PerformanceSubject>& servers) const;
  void UpdateLatePauses(const std::vector<PerformanceSubject>& servers) const;
  // Returns zeros if nothing is known of the server.
  Latency LatencyOf(const PerformanceSubject& server) const;

  std::map<ServerKey, Pauses> pauses_;
  std::map<ServerKey, Latency> latencies_;
  Time heard_at_;
};

using PerformancePolicy = std::variant<IgnorePerformance, LearnedPerformance>;

// Accepts "ignored" and "learned"; returns nothing for other names.
std::optional<PerformancePolicy> ParsePerformancePolicy(
    const std::string& name);

}  // namespace coltsfootfork

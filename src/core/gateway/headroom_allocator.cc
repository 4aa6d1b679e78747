#include "coltsfootfork/core/gateway/headroom_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfootfork {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant of the recent arrival rate.
constexpr Seconds kArrivalDecayTime{1.0};
// Approximate delay until other entries' dispatches are reported: two report
// hops.
constexpr Seconds kReportDelay{0.3};

double TokensOf(const FleetDemand& demand, const ServiceId& service,
                std::uint32_t rank) {
  const auto found = demand.find({service, rank});
  return found == demand.end() ? 0 : static_cast<double>(found->second);
}

std::uint64_t UrgentTokens(const FleetDemand& demand, const ServiceId& service,
                           std::uint32_t rank) {
  std::uint64_t tokens = 0;
  for (auto it = demand.lower_bound({service, 0});
       it != demand.end() && it->first < std::pair(service, rank); ++it) {
    tokens += it->second;
  }
  return tokens;
}

}  // namespace

double HeadroomAllocator::Decayed(const Arrivals& arrivals, Time now) {
  const Seconds age =
      std::max<Duration>(now - arrivals.updated_at, Duration(0));
  return arrivals.tokens * std::exp(-(age / kArrivalDecayTime));
}

void HeadroomAllocator::OnArrival(const ServiceId& service, std::uint32_t rank,
                                  std::uint64_t tokens, Time now) {
  Arrivals& arrivals = arrivals_[{service, rank}];
  arrivals.tokens = Decayed(arrivals, now) + static_cast<double>(tokens);
  arrivals.updated_at = now;
}

void HeadroomAllocator::OnQueued(const ServiceId& service, std::uint32_t rank,
                                 std::uint64_t tokens) {
  queued_[{service, rank}] += tokens;
}

void HeadroomAllocator::OnDequeued(const ServiceId& service, std::uint32_t rank,
                                   std::uint64_t tokens) {
  SubtractDemand(queued_, {{{service, rank}, tokens}});
}

FleetDemand HeadroomAllocator::OwnDemand(Time now) const {
  FleetDemand own = queued_;
  for (const auto& [key, arrivals] : arrivals_) {
    const double expected =
        Decayed(arrivals, now) * (kReportDelay / kArrivalDecayTime);
    const auto tokens = static_cast<std::uint64_t>(expected);
    if (tokens > 0) own[key] += tokens;
  }
  return own;
}

HeadroomShare HeadroomAllocator::ShareFor(const ServiceId& service,
                                          std::uint32_t rank,
                                          std::uint64_t tokens,
                                          Time now) const {
  const FleetDemand own = OwnDemand(now);
  const double own_demand =
      TokensOf(own, service, rank) + static_cast<double>(tokens);
  const double other_demand = TokensOf(other_entries_, service, rank);
  HeadroomShare headroom_share;
  if (own_demand > 0) {
    headroom_share.share = own_demand / (own_demand + other_demand);
  }
  headroom_share.urgent_tokens = UrgentTokens(own, service, rank) +
                                 UrgentTokens(other_entries_, service, rank);
  return headroom_share;
}

}  // namespace coltsfootfork

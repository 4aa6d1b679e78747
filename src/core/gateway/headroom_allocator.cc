#include "coltsfootfork/core/gateway/headroom_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfootfork {
namespace {

using Seconds = std::chrono::duration<double>;

// Arrivals count for the rate of late for about so long.
constexpr Seconds kFading{1.0};
// What others place is heard of after about this time: two hops of reports.
constexpr Seconds kUnheard{0.3};

double TokensOf(const FleetDemand& demand, const ServiceId& service,
                std::uint32_t rank) {
  const auto found = demand.find({service, rank});
  return found == demand.end() ? 0 : static_cast<double>(found->second);
}

std::uint64_t UrgentTokens(const FleetDemand& demand, const ServiceId& service,
                           std::uint32_t rank) {
  std::uint64_t tokens = 0;
  for (auto one = demand.lower_bound({service, 0});
       one != demand.end() && one->first < std::pair(service, rank); ++one) {
    tokens += one->second;
  }
  return tokens;
}

}  // namespace

double HeadroomAllocator::Faded(const Arrivals& arrivals, Time now) {
  const Seconds age = std::max<Duration>(now - arrivals.at, Duration(0));
  return arrivals.tokens * std::exp(-(age / kFading));
}

void HeadroomAllocator::OnArrival(const ServiceId& service, std::uint32_t rank,
                                  std::uint64_t tokens, Time now) {
  Arrivals& arrivals = arrivals_[{service, rank}];
  arrivals.tokens = Faded(arrivals, now) + static_cast<double>(tokens);
  arrivals.at = now;
}

void HeadroomAllocator::OnQueued(const ServiceId& service, std::uint32_t rank,
                                 std::uint64_t tokens) {
  waiting_[{service, rank}] += tokens;
}

void HeadroomAllocator::OnDequeued(const ServiceId& service, std::uint32_t rank,
                                   std::uint64_t tokens) {
  SubtractDemand(waiting_, {{{service, rank}, tokens}});
}

FleetDemand HeadroomAllocator::OwnDemand(Time now) const {
  FleetDemand own = waiting_;
  for (const auto& [key, arrivals] : arrivals_) {
    const double expected = Faded(arrivals, now) * (kUnheard / kFading);
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
  const double wanted =
      TokensOf(own, service, rank) + static_cast<double>(tokens);
  const double others = TokensOf(others_, service, rank);
  HeadroomShare headroom;
  if (wanted > 0) headroom.share = wanted / (wanted + others);
  headroom.urgent_tokens =
      UrgentTokens(own, service, rank) + UrgentTokens(others_, service, rank);
  return headroom;
}

}  // namespace coltsfootfork

#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "coltsfootfork/core/fleet/memory_demand.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The share of the engines' free memory that an entry may use until it receives
// the next load reports of the other entries.
struct HeadroomShare {
  // The entry's fraction of the demand of the call's rank, in (0, 1].
  double share = 1;
  // Demand of more urgent calls at all entries.
  std::uint64_t urgent_tokens = 0;
};

// Divides the engines' free memory among the entries. During a burst, all
// entries have queued calls and learn of the same free memory at the same time.
// If each entry filled it with its own calls, the engines would be
// overcommitted many times over, preempt calls, and repeat their prefill. Each
// entry therefore uses a share in proportion to its demand, and leaves headroom
// for more urgent calls at any entry.
class HeadroomAllocator {
 public:
  // Records an arrival, from which further demand is predicted.
  void OnArrival(const ServiceId& service, std::uint32_t rank,
                 std::uint64_t tokens, Time now);
  void OnQueued(const ServiceId& service, std::uint32_t rank,
                std::uint64_t tokens);
  void OnDequeued(const ServiceId& service, std::uint32_t rank,
                  std::uint64_t tokens);
  // Replaces the demand reported by the other entries.
  void SetOtherEntriesDemand(FleetDemand other_demand) {
    other_entries_ = std::move(other_demand);
  }

  // Returns the demand of this entry's queued and expected calls.
  FleetDemand OwnDemand(Time now) const;
  // Returns the share for a call that demands `tokens` in addition to the
  // queued calls.
  HeadroomShare ShareFor(const ServiceId& service, std::uint32_t rank,
                         std::uint64_t tokens, Time now) const;

 private:
  using Key = std::pair<ServiceId, std::uint32_t>;

  // Sum of arrivals, which decays exponentially.
  struct Arrivals {
    double tokens = 0;
    Time updated_at;
  };

  static double Decayed(const Arrivals& arrivals, Time now);

  std::map<Key, Arrivals> arrivals_;
  FleetDemand queued_;
  FleetDemand other_entries_;
};

}  // namespace coltsfootfork

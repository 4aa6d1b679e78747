#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "coltsfootfork/core/fleet/memory_demand.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What an entry may take of the engine memory that is free, until it hears what
// the others have taken.
struct HeadroomShare {
  // Its part of what calls of the same rank want, above 0 and up to 1.
  double share = 1;
  // What more urgent calls want, at all entries.
  std::uint64_t urgent_tokens = 0;
};

// Shares the engines' free memory among the entries. In a burst each of them
// holds calls that wait, and all hear of the same free memory at the same
// moment; were each to fill it with its own calls, the engines would get many
// times what they have room for, preempt, and read the same prompts again. So
// each takes a part, by what its calls want of all that is wanted, and leaves
// the room that more urgent calls want anywhere.
class HeadroomAllocator {
 public:
  // A call has come; more like it are expected.
  void OnArrival(const ServiceId& service, std::uint32_t rank,
                 std::uint64_t tokens, Time now);
  void OnQueued(const ServiceId& service, std::uint32_t rank,
                std::uint64_t tokens);
  void OnDequeued(const ServiceId& service, std::uint32_t rank,
                  std::uint64_t tokens);
  // What the other entries want; replaces what was known.
  void SetOtherEntriesDemand(FleetDemand other_demand) {
    other_entries_ = std::move(other_demand);
  }

  // What this entry's calls want: those that wait and those expected.
  FleetDemand OwnDemand(Time now) const;
  // The claim of a call that wants `tokens` beyond what waits already.
  HeadroomShare ShareFor(const ServiceId& service, std::uint32_t rank,
                         std::uint64_t tokens, Time now) const;

 private:
  using Key = std::pair<ServiceId, std::uint32_t>;

  // A sum of arrivals that fades with time.
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

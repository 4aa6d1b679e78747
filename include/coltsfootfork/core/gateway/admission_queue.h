#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Queues calls that no server has capacity for, by rank and then by arrival.
// Queueing protects running calls during a burst: an overcommitted engine
// preempts calls, and every stream on it stalls.
//
// Within a rank, calls that can still be on time precede late ones. Under
// sustained overload, a queue ordered by arrival alone would make all calls
// late.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;

  // Deadlines of a queued call.
  struct Window {
    // A response to a call dispatched by this time can still be on time.
    Time on_time_until;
    // The call is refused at this time if it is still queued.
    Time expires_at;
  };

  Ticket Enqueue(const ServiceId& service, std::uint32_t rank,
                 const Window& window, Time now);
  // Does nothing if the call is not queued any more.
  void Remove(Ticket ticket);

  // Calls `try_dispatch` for the queued calls of each service in order. Removes
  // a call if `try_dispatch` returns true; otherwise skips the rest of the
  // service, so that small calls do not starve a large one.
  void DispatchQueued(const std::function<bool(Ticket ticket)>& try_dispatch,
                      Time now);

  // Removes and returns one call whose window has expired.
  std::optional<Ticket> PopExpired(Time now);

  std::size_t size() const { return calls_.size(); }
  std::size_t QueueLength(const ServiceId& service) const;
  // Returns whether a call enqueued now would be the first of its service.
  bool WouldBeFirst(const ServiceId& service, std::uint32_t rank) const;

 private:
  struct QueuedCall {
    ServiceId service;
    std::uint32_t rank = 0;
    Window window;
    bool is_late = false;
  };
  // Rank, lateness and arrival order.
  using Position = std::tuple<std::uint32_t, bool, Ticket>;

  static Position PositionOf(const QueuedCall& call, Ticket ticket);
  // Moves calls that can no longer be on time behind those that can.
  void DemoteLateCalls(Time now);

  std::map<Ticket, QueuedCall> calls_;
  std::map<ServiceId, std::set<Position>> queues_;
  Ticket next_ticket_ = 1;
};

}  // namespace coltsfootfork

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

// Calls that no server has room for yet, most urgent first and in the order of
// their arrival. In a burst this lets what has begun be finished: a server that
// takes more than it has room for preempts, and every stream on it stalls.
//
// Within a rank, calls that can still be answered in time go before those that
// cannot: where more comes than servers can do, a queue in the order of arrival
// alone would make all of them late.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;

  // How long a call waits.
  struct Window {
    // Until then its answer may still be in time.
    Time on_time_until;
    // Then it has waited in vain.
    Time expires_at;
  };

  Ticket Enqueue(const ServiceId& service, std::uint32_t rank,
                 const Window& window, Time now);
  // Does nothing for a call that has left.
  void Remove(Ticket ticket);

  // Offers room to the waiting calls of each service in order. `serve` says
  // whether the call has found room; the first of a service that has not keeps
  // the others of that service waiting, so that a large call is not passed by
  // small ones for ever. A call that is served leaves.
  void DispatchQueued(const std::function<bool(Ticket ticket)>& try_dispatch,
                      Time now);

  // Takes out the calls whose time is over.
  std::optional<Ticket> PopExpired(Time now);

  std::size_t size() const { return calls_.size(); }
  std::size_t QueueLength(const ServiceId& service) const;
  // Whether a call that comes now would be the first of its service.
  bool WouldBeFirst(const ServiceId& service, std::uint32_t rank) const;

 private:
  struct QueuedCall {
    ServiceId service;
    std::uint32_t rank = 0;
    Window window;
    bool is_late = false;
  };
  // Rank, lateness and arrival.
  using Position = std::tuple<std::uint32_t, bool, Ticket>;

  static Position PositionOf(const QueuedCall& call, Ticket ticket);
  // Calls that can no longer be in time go behind those that can.
  void DemoteLateCalls(Time now);

  std::map<Ticket, QueuedCall> calls_;
  std::map<ServiceId, std::set<Position>> queues_;
  Ticket next_ticket_ = 1;
};

}  // namespace coltsfootfork

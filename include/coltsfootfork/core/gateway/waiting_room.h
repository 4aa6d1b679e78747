#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Calls that no server has room for yet, most urgent first and in the order of
// their arrival. In a burst this lets what has begun be finished: a server that
// takes more than it has room for preempts, and every stream on it stalls.
class WaitingRoom {
 public:
  using Ticket = std::uint64_t;

  // The call waits until it is served or `until`, whichever is first.
  Ticket Enter(const ServiceId& service, std::uint32_t rank, Time until);
  // Does nothing for a call that has left.
  void Leave(Ticket ticket);

  // Offers room to the waiting calls of each service in order. `serve` says
  // whether the call has found room; the first of a service that has not keeps
  // the others of that service waiting, so that a large call is not passed by
  // small ones for ever. A call that is served leaves.
  void Offer(const std::function<bool(Ticket ticket)>& serve);

  // Takes out the calls whose time is over.
  std::optional<Ticket> TakeExpired(Time now);

  std::size_t size() const { return places_.size(); }
  std::size_t WaitingFor(const ServiceId& service) const;

 private:
  struct Place {
    ServiceId service;
    std::uint32_t rank = 0;
    Time until;
  };

  std::map<Ticket, Place> places_;
  // By service, rank and arrival.
  std::map<ServiceId, std::set<std::pair<std::uint32_t, Ticket>>> queues_;
  Ticket next_ticket_ = 1;
};

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/waiting_room.h"

#include <vector>

namespace coltsfootfork {

WaitingRoom::Ticket WaitingRoom::Enter(const ServiceId& service,
                                       std::uint32_t rank, Time until) {
  const Ticket ticket = next_ticket_++;
  places_[ticket] = {service, rank, until};
  queues_[service].insert({rank, ticket});
  return ticket;
}

void WaitingRoom::Leave(Ticket ticket) {
  const auto found = places_.find(ticket);
  if (found == places_.end()) return;
  const auto queue = queues_.find(found->second.service);
  queue->second.erase({found->second.rank, ticket});
  if (queue->second.empty()) queues_.erase(queue);
  places_.erase(found);
}

void WaitingRoom::Offer(const std::function<bool(Ticket ticket)>& serve) {
  // Serving a call may let others in or out.
  std::vector<ServiceId> services;
  for (const auto& [service, queue] : queues_) services.push_back(service);
  for (const ServiceId& service : services) {
    while (true) {
      const auto queue = queues_.find(service);
      if (queue == queues_.end()) break;
      const Ticket first = queue->second.begin()->second;
      if (!serve(first)) break;
      Leave(first);
    }
  }
}

std::optional<WaitingRoom::Ticket> WaitingRoom::TakeExpired(Time now) {
  for (const auto& [ticket, place] : places_) {
    if (now < place.until) continue;
    const Ticket expired = ticket;
    Leave(expired);
    return expired;
  }
  return std::nullopt;
}

std::size_t WaitingRoom::WaitingFor(const ServiceId& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.size();
}

}  // namespace coltsfootfork

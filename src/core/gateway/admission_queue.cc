#include "coltsfootfork/core/gateway/admission_queue.h"

#include <vector>

namespace coltsfootfork {

AdmissionQueue::Order AdmissionQueue::OrderOf(const Place& place,
                                              Ticket ticket) {
  return {place.rank, place.is_late, ticket};
}

AdmissionQueue::Ticket AdmissionQueue::Enqueue(const ServiceId& service,
                                               std::uint32_t rank,
                                               const Window& window, Time now) {
  const Ticket ticket = next_ticket_++;
  const Place place{service, rank, window, now >= window.on_time_until};
  places_[ticket] = place;
  queues_[service].insert(OrderOf(place, ticket));
  return ticket;
}

void AdmissionQueue::Remove(Ticket ticket) {
  const auto found = places_.find(ticket);
  if (found == places_.end()) return;
  const auto queue = queues_.find(found->second.service);
  queue->second.erase(OrderOf(found->second, ticket));
  if (queue->second.empty()) queues_.erase(queue);
  places_.erase(found);
}

void AdmissionQueue::DispatchQueued(
    const std::function<bool(Ticket ticket)>& serve, Time now) {
  PutLateBack(now);
  // Serving a call may let others in or out.
  std::vector<ServiceId> services;
  for (const auto& [service, queue] : queues_) services.push_back(service);
  for (const ServiceId& service : services) {
    while (true) {
      const auto queue = queues_.find(service);
      if (queue == queues_.end()) break;
      const Ticket first = std::get<Ticket>(*queue->second.begin());
      if (!serve(first)) break;
      Remove(first);
    }
  }
}

void AdmissionQueue::PutLateBack(Time now) {
  for (auto& [ticket, place] : places_) {
    if (place.is_late || now < place.window.on_time_until) continue;
    std::set<Order>& queue = queues_[place.service];
    queue.erase(OrderOf(place, ticket));
    place.is_late = true;
    queue.insert(OrderOf(place, ticket));
  }
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::PopExpired(Time now) {
  for (const auto& [ticket, place] : places_) {
    if (now < place.window.expires_at) continue;
    const Ticket expired = ticket;
    Remove(expired);
    return expired;
  }
  return std::nullopt;
}

std::size_t AdmissionQueue::QueuedCalls(const ServiceId& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.size();
}

bool AdmissionQueue::WouldBeFirst(const ServiceId& service,
                                  std::uint32_t rank) const {
  const auto queue = queues_.find(service);
  if (queue == queues_.end()) return true;
  return Order(rank, false, next_ticket_) < *queue->second.begin();
}

}  // namespace coltsfootfork

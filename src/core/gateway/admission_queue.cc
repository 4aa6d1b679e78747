#include "coltsfootfork/core/gateway/admission_queue.h"

#include <vector>

namespace coltsfootfork {

AdmissionQueue::Position AdmissionQueue::PositionOf(const QueuedCall& call,
                                                    Ticket ticket) {
  return {call.rank, call.is_late, ticket};
}

AdmissionQueue::Ticket AdmissionQueue::Enqueue(const ServiceId& service,
                                               std::uint32_t rank,
                                               const Window& window, Time now) {
  const Ticket ticket = next_ticket_++;
  const QueuedCall call{service, rank, window, now >= window.on_time_until};
  calls_[ticket] = call;
  queues_[service].insert(PositionOf(call, ticket));
  return ticket;
}

void AdmissionQueue::Remove(Ticket ticket) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) return;
  const auto queue = queues_.find(found->second.service);
  queue->second.erase(PositionOf(found->second, ticket));
  if (queue->second.empty()) queues_.erase(queue);
  calls_.erase(found);
}

void AdmissionQueue::DispatchQueued(
    const std::function<bool(Ticket ticket)>& try_dispatch, Time now) {
  DemoteLateCalls(now);
  // Copied, since dispatching a call may enqueue or remove others.
  std::vector<ServiceId> services;
  for (const auto& [service, queue] : queues_) services.push_back(service);
  for (const ServiceId& service : services) {
    while (true) {
      const auto queue = queues_.find(service);
      if (queue == queues_.end()) break;
      const Ticket first = std::get<Ticket>(*queue->second.begin());
      if (!try_dispatch(first)) break;
      Remove(first);
    }
  }
}

void AdmissionQueue::DemoteLateCalls(Time now) {
  for (auto& [ticket, call] : calls_) {
    if (call.is_late || now < call.window.on_time_until) continue;
    std::set<Position>& queue = queues_[call.service];
    queue.erase(PositionOf(call, ticket));
    call.is_late = true;
    queue.insert(PositionOf(call, ticket));
  }
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::PopExpired(Time now) {
  for (const auto& [ticket, call] : calls_) {
    if (now < call.window.expires_at) continue;
    const Ticket expired = ticket;
    Remove(expired);
    return expired;
  }
  return std::nullopt;
}

std::size_t AdmissionQueue::QueueLength(const ServiceId& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.size();
}

bool AdmissionQueue::WouldBeFirst(const ServiceId& service,
                                  std::uint32_t rank) const {
  const auto queue = queues_.find(service);
  if (queue == queues_.end()) return true;
  return Position(rank, false, next_ticket_) < *queue->second.begin();
}

}  // namespace coltsfootfork

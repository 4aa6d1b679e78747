#include "shell/process/agent_metrics.h"

#include <variant>

namespace coltsfootfork {

void AgentMetrics::OnEntryMessage(const EntryMessage& message, Time now) {
  if (const auto* dispatch = std::get_if<Dispatch>(&message.message)) {
    // A resumed request was already submitted to an engine, so its queue delay
    // is not measured again.
    if (dispatch->first_index > 0) return;
    pending_requests_[dispatch->request] = {message.entry, dispatch->rank,
                                            dispatch->service, now};
  } else {
    pending_requests_.erase(std::get<CancelRequest>(message.message).request);
  }
}

void AgentMetrics::OnEntryDisconnected(const ProcessId& entry) {
  for (auto it = pending_requests_.begin(); it != pending_requests_.end();) {
    it =
        it->second.entry == entry ? pending_requests_.erase(it) : std::next(it);
  }
}

void AgentMetrics::OnEngineMessage(const EngineToAgent& message) {
  if (std::holds_alternative<EnginePreempted>(message)) {
    metrics_.Add(Counter::kPreemptions);
  }
}

void AgentMetrics::OnEffect(const SendToEntry& effect) {
  if (const auto* report = std::get_if<ServerReport>(&effect.message)) {
    SetGauges(*report);
  } else if (const auto* refused =
                 std::get_if<RequestRefused>(&effect.message)) {
    pending_requests_.erase(refused->request);
  } else if (const auto* interrupted =
                 std::get_if<RequestInterrupted>(&effect.message)) {
    pending_requests_.erase(interrupted->request);
  }
}

void AgentMetrics::OnEffect(const SendToEngine& effect, Time now) {
  const auto* submit = std::get_if<EngineSubmit>(&effect.message);
  if (submit == nullptr) return;
  const auto pending = pending_requests_.find(submit->dispatch.request);
  if (pending == pending_requests_.end()) return;
  metrics_.ObserveQueueDelay(pending->second.rank, pending->second.service,
                             now - pending->second.received_at);
  pending_requests_.erase(pending);
}

void AgentMetrics::SetGauges(const ServerReport& report) {
  metrics_.Set(Gauge::kServing, report.serving && !report.draining ? 1 : 0);
  metrics_.Set(Gauge::kQueuedRequests, report.queued_requests);
  metrics_.Set(Gauge::kRunningRequests, report.running_requests);
  metrics_.Set(Gauge::kMemoryUsedTokens, report.memory_used_tokens);
  metrics_.Set(Gauge::kMemoryTokens, report.memory_tokens);
}

}  // namespace coltsfootfork

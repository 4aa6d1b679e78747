#pragma once

#include <map>

#include "coltsfootfork/core/messages/agent_io.h"
#include "coltsfootfork/core/metrics/metrics_registry.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Updates the metrics of an agent from its messages: queue delays from the
// times of dispatch and submission to the engine, and gauges from the server
// reports that the core sends to entries.
class AgentMetrics {
 public:
  explicit AgentMetrics(MetricsRegistry& metrics) : metrics_(metrics) {}

  void OnEntryMessage(const EntryMessage& message, Time now);
  void OnEntryDisconnected(const ProcessId& entry);
  void OnEngineMessage(const EngineToAgent& message);
  void OnEffect(const SendToEntry& effect);
  void OnEffect(const SendToEngine& effect, Time now);

  // The number of requests that were received and neither submitted to the
  // engine nor finished.
  std::size_t pending() const { return pending_requests_.size(); }

 private:
  struct PendingRequest {
    ProcessId entry;
    Rank rank = Rank::kDeferrable;
    ServiceId service;
    Time received_at;
  };

  void SetGauges(const ServerReport& report);

  MetricsRegistry& metrics_;
  std::map<RequestId, PendingRequest> pending_requests_;
};

}  // namespace coltsfootfork

#pragma once

#include <utility>
#include <vector>

#include "coltsfootfork/core/messages/agent_io.h"

namespace coltsfootfork {

// Collects the effects of one call, in order.
class Effects {
 public:
  void ToEntry(const ProcessId& entry, AgentToEntry message) {
    list_.emplace_back(SendToEntry{entry, std::move(message)});
  }
  void ToEngine(AgentToEngine message) {
    list_.emplace_back(SendToEngine{std::move(message)});
  }
  void Count(Reason reason, Rank rank, const ServiceId& service) {
    list_.emplace_back(CountReason{reason, rank, service});
  }
  void SettleOrder(EngineOrderResult result) {
    list_.emplace_back(OrderCompleted{std::move(result)});
  }
  std::vector<AgentEffect> Take() { return std::move(list_); }

 private:
  std::vector<AgentEffect> list_;
};

}  // namespace coltsfootfork

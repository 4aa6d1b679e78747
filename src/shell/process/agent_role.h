#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/adapters/http_engine_adapter.h"
#include "coltsfootfork/core/messages/agent_io.h"
#include "coltsfootfork/core/scheduling/agent_core.h"
#include "shell/process/agent_metrics.h"
#include "shell/process/process_context.h"

namespace coltsfootfork {

// The agent role: stands between the entries and one backend server, hands
// what both say to the decision core and carries its effects out.
class AgentRole {
 public:
  // Listens for the backend server at once; throws
  // boost::system::system_error when it cannot.
  AgentRole(ProcessContext& context, std::uint64_t seed);

  std::string engine_address() const { return adapter_.listen_address(); }

  void OnEntryConnected(const ProcessId& entry);
  void OnEntryDisconnected(const ProcessId& entry);
  void OnEntryMessage(const ProcessId& entry, EntryToAgent message);
  void OnConfiguration(std::shared_ptr<const Configuration> configuration);
  void Tick(Time now);

  // Refuses new work; running work goes on.
  void Stop();
  bool Drained() const { return core_.Drained(); }
  std::optional<Time> NextDeadline() const { return core_.NextDeadline(); }

  // Fills in what the lease renewal tells of the backend server.
  void DescribeServer(RenewLease& renewal) const;

 private:
  void Input(const AgentInput& input);
  void Execute(const std::vector<AgentEffect>& effects);
  void Execute(const SendToEntry& effect);
  void Execute(const SendToEngine& effect);
  void Execute(const OrderCompleted& effect);
  void Execute(const CountReason& effect);
  void OnEngineMessage(EngineToAgent message);
  void OnAnnouncement(const EngineAnnouncement& announced);
  // Logs when the inventory begins not to list the server.
  void CheckInventory();
  // The last announcement as the inventory allows it.
  EngineAnnouncement PermittedServer() const;

  ProcessContext& context_;
  AgentCore core_;
  AgentMetrics metrics_;
  // What the server says of itself, and what the inventory makes of it.
  EngineAnnouncement server_;
  std::shared_ptr<const Configuration> configuration_;
  bool stopping_ = false;
  bool mismatch_ = false;
  HttpEngineAdapter adapter_;
};

}  // namespace coltsfootfork

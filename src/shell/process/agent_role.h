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

// The agent role: connects the entries with one backend server, passes the
// messages of both to the decision core, and executes the resulting effects.
class AgentRole {
 public:
  // Starts listening for the backend server; throws boost::system::system_error
  // on failure.
  AgentRole(ProcessContext& context, std::uint64_t seed);

  std::string engine_address() const { return adapter_.listen_address(); }

  void OnEntryConnected(const ProcessId& entry);
  void OnEntryDisconnected(const ProcessId& entry);
  void OnEntryMessage(const ProcessId& entry, EntryToAgent message);
  void OnConfiguration(std::shared_ptr<const Configuration> configuration);
  void Tick(Time now);

  // Refuses new requests; running requests continue.
  void Stop();
  bool Drained() const { return core_.Drained(); }
  std::optional<Time> NextDeadline() const { return core_.NextDeadline(); }

  // Fills in the lease renewal's fields about the backend server.
  void DescribeServer(RenewLease& renewal) const;

 private:
  void HandleInput(const AgentInput& input);
  void Execute(const std::vector<AgentEffect>& effects);
  void Execute(const SendToEntry& effect);
  void Execute(const SendToEngine& effect);
  void Execute(const OrderCompleted& effect);
  void Execute(const CountReason& effect);
  void OnEngineMessage(EngineToAgent message);
  void OnAnnouncement(const EngineAnnouncement& announced);
  // Logs when the inventory stops listing the server.
  void CheckInventory();
  // The server's last announcement, restricted to the inventory of the
  // configuration.
  EngineAnnouncement PermittedServer() const;

  ProcessContext& context_;
  AgentCore core_;
  AgentMetrics metrics_;
  // The server's last announcement, not restricted to the inventory.
  EngineAnnouncement server_;
  std::shared_ptr<const Configuration> configuration_;
  bool stopping_ = false;
  bool mismatch_ = false;
  HttpEngineAdapter adapter_;
};

}  // namespace coltsfootfork

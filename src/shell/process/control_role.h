#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coltsfootfork/core/control/control_replica.h"
#include "coltsfootfork/core/control_state/control_service.h"
#include "coltsfootfork/shell/storage/disk_log.h"
#include "shell/process/control_state_machine.h"
#include "shell/process/process_context.h"
#include "shell/replica/input_queue.h"
#include "wire/envelope.h"

namespace coltsfootfork {

// The control role: one replica of the control state. It replies to the control
// requests of other processes while it is the leader, and redirects them to the
// leader otherwise.
class ControlRole {
 public:
  // Opens the data folder; throws std::runtime_error with the path on failure.
  ControlRole(ProcessContext& context, std::uint64_t seed);

  // Replies over the peer's incoming link, either immediately or after the
  // command is committed.
  void OnCall(const ProcessId& peer, const ControlRequestFrame& call);
  void OnReplicaFrame(const ProcessId& peer, const ReplicaFrame& frame);
  void Tick(Time now);

 private:
  // A call that waits for its command to be committed.
  struct PendingCall {
    ProcessId peer;
    std::uint64_t call = 0;
  };

  LeaderView MakeLeaderView(Time now) const;
  void SendReply(const ProcessId& peer, std::uint64_t call, std::string reply);
  // Replies with the known leader, so that the peer retries there, or with no
  // leader, so that it tries another replica.
  void RedirectToLeader(const ProcessId& peer, std::uint64_t call);
  void Execute(const std::vector<ControlReplicaEffect>& effects);
  void Execute(const SendReplicaMessage& effect);
  void Execute(const Persist& effect);
  void Execute(const CommandCompleted& effect);
  void Execute(const LogEvent& effect);
  // Announces a newly committed revision to all peers with an incoming link.
  void AnnounceRevision();

  ProcessContext& context_;
  std::unique_ptr<DiskLog> disk_;
  ControlStateMachine state_machine_;
  ControlService service_;
  ControlReplica replica_;
  InputQueue inputs_;
  std::uint64_t next_proposal_ = 1;
  std::map<ProposalId, PendingCall> pending_calls_;
  Revision announced_revision_ = 0;
};

}  // namespace coltsfootfork

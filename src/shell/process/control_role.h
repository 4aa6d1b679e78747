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

// The control role: one replica of the control state. It answers what other
// processes ask of control while it leads, and sends them on while it does
// not.
class ControlRole {
 public:
  // Opens the data folder; throws std::runtime_error with the place when it
  // cannot be used.
  ControlRole(ProcessContext& context, std::uint64_t seed);

  // Answers over the incoming link of the peer, now or once it is committed.
  void OnCall(const ProcessId& peer, const ControlRequestFrame& call);
  void OnReplicaFrame(const ProcessId& peer, const ReplicaFrame& frame);
  void Tick(Time now);

 private:
  // A call that waits for its command to be committed.
  struct WaitingCall {
    ProcessId peer;
    std::uint64_t call = 0;
  };

  LeaderView View(Time now) const;
  void Answer(const ProcessId& peer, std::uint64_t call, std::string reply);
  // Lets the caller ask the leader, or ask again.
  void SendOn(const ProcessId& peer, std::uint64_t call);
  void CarryOut(const std::vector<ControlReplicaEffect>& effects);
  void CarryOut(const SendReplicaMessage& effect);
  void CarryOut(const Persist& effect);
  void CarryOut(const CommandCompleted& effect);
  void CarryOut(const LogEvent& effect);
  // Tells everyone at once when a new revision was committed.
  void AnnounceRevision();

  ProcessContext& context_;
  std::unique_ptr<DiskLog> disk_;
  ControlStateMachine machine_;
  ControlService service_;
  ControlReplica replica_;
  InputQueue inputs_;
  std::uint64_t next_proposal_ = 1;
  std::map<ProposalId, WaitingCall> waiting_;
  Revision announced_ = 0;
};

}  // namespace coltsfootfork

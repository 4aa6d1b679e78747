#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/control/state_machine.h"
#include "coltsfootfork/core/replication/replica.h"
#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/core/replication/voter_planner.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The result of a proposed command.
struct CommandCompleted {
  ProposalId proposal = 0;
  ProposalOutcome outcome = ProposalOutcome::kNotLeader;
  // The state machine's reply; set for kCommitted.
  std::string reply;
};

using ControlReplicaEffect =
    std::variant<SendReplicaMessage, Persist, CommandCompleted, LogEvent>;

// Connects a replica to its state machine: returns the state machine's replies
// to commands, creates and restores its snapshots, and, as the leader, applies
// the voter changes that the planner proposes.
class ControlReplica {
 public:
  // The state machine must be in its initial state and outlive this object.
  ControlReplica(Replica replica, StateMachine& machine,
                 const VoterPlannerOptions& planner);

  // Proposes a command; a CommandCompleted with the same proposal follows, in
  // this or a later result. The caller must not reuse proposal numbers.
  std::vector<ControlReplicaEffect> Propose(ProposalId proposal,
                                            std::string command, Time now);
  // Handles replica messages, PersistDone and PersistFailed.
  std::vector<ControlReplicaEffect> Handle(const ReplicaInput& input, Time now);
  // Must be called a few times per heartbeat interval.
  std::vector<ControlReplicaEffect> Tick(Time now);

  const Replica& replica() const { return replica_; }
  // True while the lease guarantees that reads of the state machine are
  // current.
  bool MayRead(Time now) const { return replica_.HoldsLease(now); }

 private:
  using Effects = std::vector<ControlReplicaEffect>;

  void HandleEffects(std::vector<ReplicaEffect> effects, Time now,
                     Effects& out);
  void On(SendReplicaMessage send, Time now, Effects& out);
  void On(Persist persist, Time now, Effects& out);
  void On(const ApplyCommand& apply, Time now, Effects& out);
  void On(const ApplySnapshot& apply, Time now, Effects& out);
  void On(const ProposalDone& done, Time now, Effects& out);
  void On(const VoterChangeDone& done, Time now, Effects& out);
  void On(const TakeSnapshot& take, Time now, Effects& out);
  void On(LogEvent event, Time now, Effects& out);
  void ProposeVoterChange(Time now, Effects& out);

  Replica replica_;
  StateMachine& machine_;
  VoterPlanner planner_;
  // The reply to the last applied command. If that command was proposed here,
  // its ProposalDone is the next effect.
  std::string last_reply_;
  bool changing_voters_ = false;
  Time next_voter_change_;
};

}  // namespace coltsfootfork

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

// How a proposed command ended.
struct CommandAnswered {
  ProposalId proposal = 0;
  ProposalOutcome outcome = ProposalOutcome::kNotLeader;
  // The state machine's reply; set for kCommitted.
  std::string reply;
};

using ControlReplicaEffect =
    std::variant<SendReplicaMessage, Persist, CommandAnswered, LogEvent>;

// A replica together with the state machine that it keeps. It answers commands
// with the state machine's replies, takes and restores its snapshots, and, as
// the leader, lets the planner repair the group.
class ControlReplica {
 public:
  // The state machine must be in its first state, and outlive this object.
  ControlReplica(Replica replica, StateMachine& machine,
                 const VoterPlannerOptions& planner);

  // A CommandAnswered of the same proposal follows, now or later. The caller
  // numbers its proposals, each once.
  std::vector<ControlReplicaEffect> Propose(ProposalId proposal,
                                            std::string command, Time now);
  // For messages and PersistDone or PersistFailed.
  std::vector<ControlReplicaEffect> Handle(const ReplicaInput& input, Time now);
  // Call it a few times per heartbeat.
  std::vector<ControlReplicaEffect> Tick(Time now);

  const Replica& replica() const { return replica_; }
  // Whether the state machine may be read as current.
  bool MayRead(Time now) const { return replica_.HoldsLease(now); }

 private:
  using Effects = std::vector<ControlReplicaEffect>;

  void Carry(std::vector<ReplicaEffect> effects, Time now, Effects& out);
  void On(SendReplicaMessage send, Time now, Effects& out);
  void On(Persist persist, Time now, Effects& out);
  void On(const ApplyCommand& apply, Time now, Effects& out);
  void On(const ApplySnapshot& apply, Time now, Effects& out);
  void On(const ProposalDone& done, Time now, Effects& out);
  void On(const VoterChangeDone& done, Time now, Effects& out);
  void On(const TakeSnapshot& take, Time now, Effects& out);
  void On(LogEvent event, Time now, Effects& out);
  void Repair(Time now, Effects& out);

  Replica replica_;
  StateMachine& machine_;
  VoterPlanner planner_;
  // The reply to the latest command; its proposal, if it came from here, is
  // reported right after it.
  std::string last_reply_;
  bool changing_voters_ = false;
  Time next_repair_;
};

}  // namespace coltsfootfork

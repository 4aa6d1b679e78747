#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>

#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/core/replication/replica_options.h"
#include "coltsfootfork/core/types/time.h"
#include "core/replication/outbox.h"
#include "core/replication/replica_log.h"
#include "core/replication/role_machine.h"

namespace coltsfootfork {

// State that the parts of a replica share.
struct ReplicaState {
  ReplicaState(const ReplicaOptions& replica_options, RecoveredState recovered,
               std::uint64_t seed, Time now);

  ReplicaRole role() const { return roles.role(); }
  bool IsLeader() const { return role() == ReplicaRole::kLeader; }

  void Send(const ReplicaId& to, ReplicaMessageBody body);
  void SendSynced(const ReplicaId& to, ReplicaMessageBody body);
  void Emit(ReplicaEventKind kind, LogIndex index, ProcessId process);

  // Changes of the persistent state, staged for the next Persist.
  void StageHardState() { outbox.staged().hard_state = hard; }
  void AppendEntry(LogEntry entry);
  void TruncateFrom(LogIndex index);

  // Joins the group of a received message if this replica has no group.
  void JoinGroup(GroupId group);
  // Ends any campaign or leadership, and adopts the term if it is later.
  void StepDown(Term term, Time now);
  // Sets the role to learner or follower according to the latest membership.
  void UpdateRoleFromMembership();
  // Records a message from the leader of the current term.
  void OnLeaderContact(const ReplicaId& from, Time now);
  void RestartElectionTimer(Time now);

  // True for the minimum election timeout after contact with a leader, or after
  // a restart. This replica must grant no vote then, since the lease of the
  // leader that it acknowledged may still be valid.
  bool HasRecentLeaderContact(Time now) const;

  ReplicaOptions options;
  ReplicaId self;
  HardState hard;
  ReplicaLog log;
  RoleMachine roles;
  Outbox outbox;
  std::mt19937_64 random;

  LogIndex commit = 0;
  LogIndex applied = 0;
  std::optional<ReplicaId> leader;
  // When a leader was last in contact. Initially the startup time if the
  // replica already has a group.
  std::optional<Time> last_leader_contact;
  Time next_election_timeout;
};

}  // namespace coltsfootfork

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

// What the parts of a replica share.
struct ReplicaState {
  ReplicaState(const ReplicaOptions& replica_options, RecoveredState recovered,
               std::uint64_t seed, Time now);

  ReplicaRole role() const { return roles.role(); }
  bool IsLeader() const { return role() == ReplicaRole::kLeader; }

  void Send(const ReplicaId& to, ReplicaMessageBody body);
  void SendSynced(const ReplicaId& to, ReplicaMessageBody body);
  void Emit(ReplicaEventKind kind, LogIndex index, ProcessId process);

  // Changes of what must not be forgotten.
  void StageHardState() { outbox.staged().hard_state = hard; }
  void AppendEntry(LogEntry entry);
  void TruncateFrom(LogIndex index);

  // Takes the group of a message that names this replica, when it has none.
  void JoinGroup(GroupId group);
  // Gives up any campaign or leadership and enters the term, if it is later.
  void StepDown(Term term, Time now);
  // Brings the role in line with the latest membership.
  void UpdateRoleFromMembership();
  // A leader of the present term was heard.
  void OnLeaderContact(const ReplicaId& from, Time now);
  void RestartElectionTimer(Time now);

  // True while this replica's word that it would grant no vote still binds
  // it, given to a leader it heard, or perhaps before a restart.
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
  // When a leader was last heard; the start of a replica with a past.
  std::optional<Time> last_leader_contact;
  Time next_election_timeout;
};

}  // namespace coltsfootfork

#include "core/replication/replica_state.h"

#include <algorithm>

namespace coltsfootfork {

ReplicaState::ReplicaState(const ReplicaOptions& replica_options,
                           RecoveredState recovered, std::uint64_t seed,
                           Time now)
    : options(replica_options),
      self{replica_options.self, recovered.incarnation},
      hard(recovered.hard_state),
      log(std::move(recovered.snapshot), std::move(recovered.entries)),
      outbox(log.last_index()),
      random(seed) {
  commit = log.snapshot_index();
  // A replica with a group may have acknowledged a leader just before it
  // stopped.
  if (hard.group != 0) last_leader_contact = now;
  RestartElectionTimer(now);
  UpdateRoleFromMembership();
}

void ReplicaState::Send(const ReplicaId& to, ReplicaMessageBody body) {
  outbox.Send(
      {to.process,
       {self.incarnation, to.incarnation, hard.group, std::move(body)}});
}

void ReplicaState::SendSynced(const ReplicaId& to, ReplicaMessageBody body) {
  outbox.SendSynced(
      {to.process,
       {self.incarnation, to.incarnation, hard.group, std::move(body)}});
}

void ReplicaState::Emit(ReplicaEventKind kind, LogIndex index,
                        ProcessId process) {
  outbox.Emit(LogEvent{kind, hard.term, index, std::move(process)});
}

void ReplicaState::AppendEntry(LogEntry entry) {
  const bool changes_members = entry.kind == EntryKind::kMembership;
  outbox.staged().append.push_back(entry);
  log.Append(std::move(entry));
  if (changes_members) UpdateRoleFromMembership();
}

void ReplicaState::TruncateFrom(LogIndex index) {
  outbox.staged().truncate_from = index;
  log.TruncateFrom(index);
  UpdateRoleFromMembership();
}

void ReplicaState::JoinGroup(GroupId group) {
  if (hard.group != 0 || group == 0) return;
  hard.group = group;
  StageHardState();
  UpdateRoleFromMembership();
  Emit(ReplicaEventKind::kGroupJoined, 0, {});
}

void ReplicaState::StepDown(Term term, Time now) {
  if (IsLeader()) Emit(ReplicaEventKind::kLeaderLost, log.last_index(), {});
  if (term > hard.term) {
    hard.term = term;
    hard.vote.reset();
    leader.reset();
    StageHardState();
  }
  if (leader == self) leader.reset();
  roles.Process(RoleEvent::kSteppedDown);
  UpdateRoleFromMembership();
  RestartElectionTimer(now);
}

void ReplicaState::UpdateRoleFromMembership() {
  if (hard.group == 0) return;
  const bool voter = log.membership().IsVoter(self);
  if (voter && (role() == ReplicaRole::kUninitialized ||
                role() == ReplicaRole::kLearner)) {
    roles.Process(RoleEvent::kBecameVoter);
  } else if (!voter) {
    roles.Process(RoleEvent::kBecameLearner);
  }
}

void ReplicaState::OnLeaderContact(const ReplicaId& from, Time now) {
  leader = from;
  last_leader_contact = now;
  RestartElectionTimer(now);
}

void ReplicaState::RestartElectionTimer(Time now) {
  const auto max_jitter =
      static_cast<std::uint64_t>(options.min_election_timeout.count());
  const auto jitter = static_cast<Duration::rep>(random() % (max_jitter + 1));
  next_election_timeout = now + options.min_election_timeout + Duration(jitter);
}

bool ReplicaState::HasRecentLeaderContact(Time now) const {
  return last_leader_contact &&
         now < *last_leader_contact + options.min_election_timeout;
}

}  // namespace coltsfootfork

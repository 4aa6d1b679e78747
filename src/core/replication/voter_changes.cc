#include "core/replication/voter_changes.h"

#include <algorithm>

#include "core/replication/quorum.h"

namespace coltsfootfork {
namespace {

// Seven voters and two learners.
constexpr std::size_t kMaxMembers = 9;
constexpr std::size_t kMaxVoters = 7;
// A leader that steps down because it is not in the new configuration delays
// its next campaign by this many minimum election timeouts, so that a voter can
// be elected.
constexpr int kStepDownDelayElectionTimeouts = 6;

bool IsLearner(const Member* member) {
  return member != nullptr && member->role == MemberRole::kLearner;
}

void SetRole(Membership& membership, const ReplicaId& id, MemberRole role) {
  for (Member& member : membership.members) {
    if (member.id == id) member.role = role;
  }
}

void Remove(Membership& membership, const ReplicaId& id) {
  auto& members = membership.members;
  members.erase(
      std::remove_if(members.begin(), members.end(),
                     [&](const Member& member) { return member.id == id; }),
      members.end());
}

void Add(Membership& membership, const Member& added) {
  auto& members = membership.members;
  const auto at = std::lower_bound(
      members.begin(), members.end(), added,
      [](const Member& a, const Member& b) { return a.id < b.id; });
  members.insert(at, added);
}

Membership ApplyChange(Membership membership, const ChangeVoter& change) {
  switch (change.kind) {
    case VoterChangeKind::kAddLearner:
      Add(membership, {change.replica, change.zone, MemberRole::kLearner});
      break;
    case VoterChangeKind::kPromote:
      SetRole(membership, change.replica, MemberRole::kVoter);
      break;
    case VoterChangeKind::kRemove:
      Remove(membership, change.replica);
      break;
    case VoterChangeKind::kReplace:
      SetRole(membership, change.replica, MemberRole::kJoining);
      SetRole(membership, change.leaving, MemberRole::kLeaving);
      break;
  }
  return membership;
}

Membership FinalMembership(const Membership& joint) {
  Membership final_membership;
  for (Member member : joint.members) {
    if (member.role == MemberRole::kLeaving) continue;
    if (member.role == MemberRole::kJoining) member.role = MemberRole::kVoter;
    final_membership.members.push_back(member);
  }
  return final_membership;
}

}  // namespace

void VoterChanges::OnChange(const ChangeVoter& change, Time now) {
  if (const Refusal refusal = CheckChange(change, now)) {
    state_.outbox.Emit(VoterChangeDone{change, *refusal});
    return;
  }
  pending_ = Pending{state_.log.last_index() + 1, change};
  Append(ApplyChange(state_.log.membership(), change), now);
}

void VoterChanges::Append(const Membership& membership, Time now) {
  LogEntry entry;
  entry.index = state_.log.last_index() + 1;
  entry.term = state_.hard.term;
  entry.kind = EntryKind::kMembership;
  entry.membership = membership;
  state_.AppendEntry(std::move(entry));
  leadership_.UpdatePeersFromMembership(now);
  leadership_.ReplicateToAll(now);
}

void VoterChanges::FinishChange(Time now) {
  const Membership& membership = state_.log.membership();
  const bool is_committed = state_.log.membership_index() <= state_.commit;
  if (!is_committed || !leadership_.HoldsLease(now)) return;
  const Member* self = membership.Find(state_.self);
  if (self == nullptr || !self->VotesInNewConfig()) {
    // A quorum of the voters has the committed entries, so one of them can be
    // elected.
    state_.StepDown(state_.hard.term, now);
    state_.next_election_timeout =
        now +
        kStepDownDelayElectionTimeouts * state_.options.min_election_timeout;
    return;
  }
  if (!membership.IsInJointConsensus()) return;
  if (pending_) pending_->index = state_.log.last_index() + 1;
  Append(FinalMembership(state_.log.membership()), now);
}

void VoterChanges::OnApplied(const LogEntry& entry) {
  if (entry.kind != EntryKind::kMembership) return;
  state_.Emit(ReplicaEventKind::kMembershipChanged, entry.index, {});
  const bool done = pending_ && pending_->index == entry.index &&
                    !entry.membership.IsInJointConsensus();
  if (!done) return;
  state_.outbox.Emit(
      VoterChangeDone{pending_->change, VoterChangeOutcome::kCommitted});
  pending_.reset();
}

void VoterChanges::Stop() {
  if (!pending_) return;
  state_.outbox.Emit(
      VoterChangeDone{pending_->change, VoterChangeOutcome::kLeadershipLost});
  pending_.reset();
}

VoterChanges::Refusal VoterChanges::CheckChange(const ChangeVoter& change,
                                                Time now) const {
  // The lease implies a committed entry of this term. Without one, two
  // successive leaders could each change the membership without knowing the
  // other's change.
  if (!leadership_.HoldsLease(now)) return VoterChangeOutcome::kNotLeader;
  if (state_.log.membership_index() > state_.commit ||
      state_.log.membership().IsInJointConsensus()) {
    return VoterChangeOutcome::kBusy;
  }
  switch (change.kind) {
    case VoterChangeKind::kAddLearner:
      return CheckAdd(change);
    case VoterChangeKind::kPromote:
      return CheckPromote(change, now);
    case VoterChangeKind::kRemove:
      return CheckRemove(change, now);
    case VoterChangeKind::kReplace:
      return CheckReplace(change, now);
  }
  return VoterChangeOutcome::kInvalid;
}

VoterChanges::Refusal VoterChanges::CheckAdd(const ChangeVoter& change) const {
  const Membership& membership = state_.log.membership();
  const bool valid = change.replica.incarnation != 0 &&
                     membership.Find(change.replica) == nullptr &&
                     membership.members.size() < kMaxMembers;
  if (!valid) return VoterChangeOutcome::kInvalid;
  return std::nullopt;
}

VoterChanges::Refusal VoterChanges::CheckPromote(const ChangeVoter& change,
                                                 Time now) const {
  const Membership& membership = state_.log.membership();
  if (!IsLearner(membership.Find(change.replica)) ||
      membership.VoterCount() >= kMaxVoters) {
    return VoterChangeOutcome::kInvalid;
  }
  if (!IsCaughtUp(change.replica, now)) return VoterChangeOutcome::kNotCaughtUp;
  // Two voters always need both for a quorum, so the check can't pass from one
  // voter to two.
  const bool has_single_voter = membership.VoterCount() == 1;
  if (!has_single_voter &&
      !HasQuorumWithout(ApplyChange(membership, change), change.replica, now)) {
    return VoterChangeOutcome::kUnsafe;
  }
  return std::nullopt;
}

VoterChanges::Refusal VoterChanges::CheckRemove(const ChangeVoter& change,
                                                Time now) const {
  const Membership& membership = state_.log.membership();
  const Member* member = membership.Find(change.replica);
  if (member == nullptr || change.replica == state_.self) {
    return VoterChangeOutcome::kInvalid;
  }
  if (!member->IsVoter()) return std::nullopt;
  if (!HasQuorumWithout(ApplyChange(membership, change), change.replica, now)) {
    return VoterChangeOutcome::kUnsafe;
  }
  return std::nullopt;
}

VoterChanges::Refusal VoterChanges::CheckReplace(const ChangeVoter& change,
                                                 Time now) const {
  const Membership& membership = state_.log.membership();
  const Member* leaving_member = membership.Find(change.leaving);
  const bool valid = IsLearner(membership.Find(change.replica)) &&
                     leaving_member != nullptr && leaving_member->IsVoter() &&
                     change.leaving != state_.self;
  if (!valid) return VoterChangeOutcome::kInvalid;
  if (!IsCaughtUp(change.replica, now)) return VoterChangeOutcome::kNotCaughtUp;
  if (!HasQuorumWithout(ApplyChange(membership, change), change.replica, now)) {
    return VoterChangeOutcome::kUnsafe;
  }
  return std::nullopt;
}

bool VoterChanges::IsCaughtUp(const ReplicaId& id, Time now) const {
  return leadership_.IsReachable(id, now) &&
         leadership_.MatchIndexOf(id) >= state_.commit;
}

bool VoterChanges::HasQuorumWithout(const Membership& after,
                                    const ReplicaId& excluded, Time now) const {
  return IsQuorum(after, [&](const Member& member) {
    return member.id != excluded && IsCaughtUp(member.id, now);
  });
}

}  // namespace coltsfootfork

#include "core/replication/voter_changes.h"

#include <algorithm>

#include "core/replication/quorum.h"

namespace coltsfootfork {
namespace {

// Seven voters, and two on their way.
constexpr std::size_t kMaxMembers = 9;
constexpr std::size_t kMaxVoters = 7;
// How many election minimums a leader that is no lasting voter holds back when
// it stops, so that a voter can be elected.
constexpr int kHoldBackMinimums = 6;

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

Membership Changed(Membership membership, const ChangeVoter& change) {
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

Membership Settled(const Membership& changing) {
  Membership settled;
  for (Member member : changing.members) {
    if (member.role == MemberRole::kLeaving) continue;
    if (member.role == MemberRole::kJoining) member.role = MemberRole::kVoter;
    settled.members.push_back(member);
  }
  return settled;
}

}  // namespace

void VoterChanges::OnChange(const ChangeVoter& change, Time now) {
  if (const Refusal refusal = RefusalOf(change, now)) {
    state_.outbox.Emit(VoterChangeDone{change, *refusal});
    return;
  }
  pending_ = Pending{state_.log.last_index() + 1, change};
  Append(Changed(state_.log.membership(), change), now);
}

void VoterChanges::Append(const Membership& membership, Time now) {
  LogEntry entry;
  entry.index = state_.log.last_index() + 1;
  entry.term = state_.hard.term;
  entry.kind = EntryKind::kMembership;
  entry.membership = membership;
  state_.AppendEntry(std::move(entry));
  leadership_.FollowMembership(now);
  leadership_.ReplicateToAll(now);
}

void VoterChanges::Settle(Time now) {
  const Membership& membership = state_.log.membership();
  const bool is_settled = state_.log.membership_index() <= state_.commit;
  if (!is_settled || !leadership_.HoldsLease(now)) return;
  const Member* self = membership.Find(state_.self);
  if (self == nullptr || !self->VotesInNewConfig()) {
    // The voters have everything by now, so one of them can lead.
    state_.StepDown(state_.hard.term, now);
    state_.election_due =
        now + kHoldBackMinimums * state_.options.min_election_timeout;
    return;
  }
  if (!membership.IsInJointConsensus()) return;
  if (pending_) pending_->index = state_.log.last_index() + 1;
  Append(Settled(state_.log.membership()), now);
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

VoterChanges::Refusal VoterChanges::RefusalOf(const ChangeVoter& change,
                                              Time now) const {
  // With the lease, an entry of this term is committed: without that, two
  // leaders in turn could each change the membership behind the other's back.
  if (!leadership_.HoldsLease(now)) return VoterChangeOutcome::kNotLeader;
  if (state_.log.membership_index() > state_.commit ||
      state_.log.membership().IsInJointConsensus()) {
    return VoterChangeOutcome::kBusy;
  }
  switch (change.kind) {
    case VoterChangeKind::kAddLearner:
      return RefusalOfAdd(change);
    case VoterChangeKind::kPromote:
      return RefusalOfPromote(change, now);
    case VoterChangeKind::kRemove:
      return RefusalOfRemove(change, now);
    case VoterChangeKind::kReplace:
      return RefusalOfReplace(change, now);
  }
  return VoterChangeOutcome::kInvalid;
}

VoterChanges::Refusal VoterChanges::RefusalOfAdd(
    const ChangeVoter& change) const {
  const Membership& membership = state_.log.membership();
  const bool valid = change.replica.incarnation != 0 &&
                     membership.Find(change.replica) == nullptr &&
                     membership.members.size() < kMaxMembers;
  if (!valid) return VoterChangeOutcome::kInvalid;
  return std::nullopt;
}

VoterChanges::Refusal VoterChanges::RefusalOfPromote(const ChangeVoter& change,
                                                     Time now) const {
  const Membership& membership = state_.log.membership();
  if (!IsLearner(membership.Find(change.replica)) ||
      membership.VoterCount() >= kMaxVoters) {
    return VoterChangeOutcome::kInvalid;
  }
  if (!IsReady(change.replica, now)) return VoterChangeOutcome::kNotCaughtUp;
  // From one voter to two there is no way without this risk.
  const bool is_first = membership.VoterCount() == 1;
  if (!is_first && !CanBear(Changed(membership, change), change.replica, now)) {
    return VoterChangeOutcome::kUnsafe;
  }
  return std::nullopt;
}

VoterChanges::Refusal VoterChanges::RefusalOfRemove(const ChangeVoter& change,
                                                    Time now) const {
  const Membership& membership = state_.log.membership();
  const Member* member = membership.Find(change.replica);
  if (member == nullptr || change.replica == state_.self) {
    return VoterChangeOutcome::kInvalid;
  }
  if (!member->IsVoter()) return std::nullopt;
  if (!CanBear(Changed(membership, change), change.replica, now)) {
    return VoterChangeOutcome::kUnsafe;
  }
  return std::nullopt;
}

VoterChanges::Refusal VoterChanges::RefusalOfReplace(const ChangeVoter& change,
                                                     Time now) const {
  const Membership& membership = state_.log.membership();
  const Member* leaving = membership.Find(change.leaving);
  const bool valid = IsLearner(membership.Find(change.replica)) &&
                     leaving != nullptr && leaving->IsVoter() &&
                     change.leaving != state_.self;
  if (!valid) return VoterChangeOutcome::kInvalid;
  if (!IsReady(change.replica, now)) return VoterChangeOutcome::kNotCaughtUp;
  if (!CanBear(Changed(membership, change), change.replica, now)) {
    return VoterChangeOutcome::kUnsafe;
  }
  return std::nullopt;
}

bool VoterChanges::IsReady(const ReplicaId& id, Time now) const {
  return leadership_.IsAlive(id, now) &&
         leadership_.MatchOf(id) >= state_.commit;
}

bool VoterChanges::CanBear(const Membership& after, const ReplicaId& missing,
                           Time now) const {
  return IsQuorum(after, [&](const Member& member) {
    return member.id != missing && IsReady(member.id, now);
  });
}

}  // namespace coltsfootfork

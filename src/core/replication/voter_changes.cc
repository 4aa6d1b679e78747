#include "core/replication/voter_changes.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// Seven voters, one that replaces another, and one learner on its way.
constexpr std::size_t kMaxMembers = 9;
constexpr std::size_t kMaxVoters = 8;

Membership Changed(Membership membership, const ChangeVoter& change) {
  std::vector<Member>& members = membership.members;
  const auto at = std::lower_bound(
      members.begin(), members.end(), change.replica,
      [](const Member& member, const ReplicaId& id) { return member.id < id; });
  switch (change.kind) {
    case VoterChangeKind::kAddLearner:
      members.insert(at, {change.replica, change.zone, false});
      break;
    case VoterChangeKind::kPromote:
      at->voter = true;
      break;
    case VoterChangeKind::kRemove:
      members.erase(at);
      break;
  }
  return membership;
}

}  // namespace

void VoterChanges::OnChange(const ChangeVoter& change, Time now) {
  if (const auto refusal = Refusal(change, now)) {
    state_.outbox.Emit(VoterChangeDone{change, *refusal});
    return;
  }
  LogEntry entry;
  entry.index = state_.log.last_index() + 1;
  entry.term = state_.hard.term;
  entry.kind = EntryKind::kMembership;
  entry.membership = Changed(state_.log.membership(), change);
  pending_ = Pending{entry.index, change};
  state_.AppendEntry(std::move(entry));
  leadership_.FollowMembership(now);
  leadership_.ReplicateToAll(now);
}

void VoterChanges::OnApplied(const LogEntry& entry) {
  if (entry.kind != EntryKind::kMembership) return;
  state_.Emit(ReplicaEventKind::kMembershipChanged, entry.index, {});
  if (!pending_ || pending_->index != entry.index) return;
  state_.outbox.Emit(
      VoterChangeDone{pending_->change, VoterChangeOutcome::kCommitted});
  pending_.reset();
}

void VoterChanges::Stop() {
  if (!pending_) return;
  state_.outbox.Emit(
      VoterChangeDone{pending_->change, VoterChangeOutcome::kLost});
  pending_.reset();
}

std::optional<VoterChangeOutcome> VoterChanges::Refusal(
    const ChangeVoter& change, Time now) const {
  // With the lease, an entry of this term is committed: without that, two
  // leaders in turn could each change the membership behind the other's back.
  if (!leadership_.HoldsLease(now)) return VoterChangeOutcome::kNotLeader;
  if (state_.log.membership_index() > state_.commit) {
    return VoterChangeOutcome::kBusy;
  }
  switch (change.kind) {
    case VoterChangeKind::kAddLearner:
      return RefusalOfAdd(change);
    case VoterChangeKind::kPromote:
      return RefusalOfPromote(change, now);
    case VoterChangeKind::kRemove:
      return RefusalOfRemove(change, now);
  }
  return VoterChangeOutcome::kInvalid;
}

std::optional<VoterChangeOutcome> VoterChanges::RefusalOfAdd(
    const ChangeVoter& change) const {
  const Membership& membership = state_.log.membership();
  const bool valid = change.replica.incarnation != 0 &&
                     membership.Find(change.replica) == nullptr &&
                     membership.members.size() < kMaxMembers;
  if (!valid) return VoterChangeOutcome::kInvalid;
  return std::nullopt;
}

std::optional<VoterChangeOutcome> VoterChanges::RefusalOfPromote(
    const ChangeVoter& change, Time now) const {
  const Membership& membership = state_.log.membership();
  const Member* member = membership.Find(change.replica);
  if (member == nullptr || member->voter ||
      membership.VoterCount() >= kMaxVoters) {
    return VoterChangeOutcome::kInvalid;
  }
  const bool caught_up = leadership_.IsAlive(change.replica, now) &&
                         leadership_.MatchOf(change.replica) >= state_.commit;
  if (!caught_up) return VoterChangeOutcome::kNotCaughtUp;
  return std::nullopt;
}

std::optional<VoterChangeOutcome> VoterChanges::RefusalOfRemove(
    const ChangeVoter& change, Time now) const {
  const Membership& membership = state_.log.membership();
  const Member* member = membership.Find(change.replica);
  if (member == nullptr || change.replica == state_.self) {
    return VoterChangeOutcome::kInvalid;
  }
  if (!member->voter) return std::nullopt;
  const Membership after = Changed(membership, change);
  // Those that stay must have everything committed, and a quorum of them
  // must answer: then nothing is lost with the one that goes.
  const auto ready = static_cast<std::size_t>(std::count_if(
      after.members.begin(), after.members.end(), [&](const Member& other) {
        return other.voter && leadership_.IsAlive(other.id, now) &&
               leadership_.MatchOf(other.id) >= state_.commit;
      }));
  if (ready < after.Quorum()) return VoterChangeOutcome::kUnsafe;
  return std::nullopt;
}

}  // namespace coltsfootfork

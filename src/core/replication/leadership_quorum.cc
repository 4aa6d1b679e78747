#include "core/replication/leadership.h"
#include "core/replication/quorum.h"

// The part of Leadership that evaluates acknowledgements: commit index, leader
// lease and member health.
namespace coltsfootfork {

void Leadership::RecordAcknowledgement(Peer& peer, std::uint64_t sent_ms,
                                       Time now) {
  const Time sent = elected_at_ + std::chrono::milliseconds(sent_ms);
  if (sent > now || peer.log_regressed) return;
  if (!peer.acked_send || *peer.acked_send < sent) peer.acked_send = sent;
}

void Leadership::AdvanceCommitIndex() {
  if (!active_) return;
  const auto quorum_match =
      QuorumValue<LogIndex>(state_.log.membership(), [&](const Member& member) {
        return std::optional<LogIndex>(MatchIndexOf(member.id));
      });
  if (!quorum_match || *quorum_match <= state_.commit) return;
  // An entry of an earlier term commits only together with one of this term.
  if (state_.log.TermAt(*quorum_match) != state_.hard.term) return;
  state_.commit = *quorum_match;
}

std::optional<Time> Leadership::QuorumAcknowledgedTime(Time now) const {
  return QuorumValue<Time>(state_.log.membership(),
                           [&](const Member& member) -> std::optional<Time> {
                             if (member.id == state_.self) return now;
                             const auto peer = peers_.find(member.id);
                             if (peer == peers_.end()) return std::nullopt;
                             return peer->second.acked_send;
                           });
}

bool Leadership::IsInContactWithQuorum(Time now) const {
  if (!active_) return false;
  const auto acknowledged_at = QuorumAcknowledgedTime(now);
  return acknowledged_at &&
         now < *acknowledged_at + LeaseDuration(state_.options);
}

bool Leadership::HoldsLease(Time now) const {
  return IsInContactWithQuorum(now) && state_.applied >= first_index_of_term_;
}

bool Leadership::IsReachable(const ReplicaId& id, Time now) const {
  if (id == state_.self) return true;
  const auto peer = peers_.find(id);
  if (peer == peers_.end() || !peer->second.acked_send) return false;
  return now < *peer->second.acked_send + LeaseDuration(state_.options);
}

LogIndex Leadership::MatchIndexOf(const ReplicaId& id) const {
  if (id == state_.self) return state_.outbox.synced_index();
  const auto peer = peers_.find(id);
  if (peer == peers_.end() || peer->second.log_regressed) return 0;
  return peer->second.match;
}

std::vector<MemberHealth> Leadership::Health(Time now) const {
  std::vector<MemberHealth> health;
  for (const Member& member : state_.log.membership().members) {
    MemberHealth member_health{member, MatchIndexOf(member.id), now};
    if (member.id == state_.self) {
      health.insert(health.begin(), member_health);
      continue;
    }
    const auto peer = peers_.find(member.id);
    member_health.last_contact =
        peer == peers_.end() ? elected_at_
                             : peer->second.acked_send.value_or(elected_at_);
    health.push_back(member_health);
  }
  return health;
}

}  // namespace coltsfootfork

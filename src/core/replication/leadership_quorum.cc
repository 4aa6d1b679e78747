#include "core/replication/leadership.h"
#include "core/replication/quorum.h"

// The part of Leadership that counts answers: commit, lease and health.
namespace coltsfootfork {

void Leadership::Acknowledge(Peer& peer, std::uint64_t sent_ms, Time now) {
  const Time sent = elected_at_ + std::chrono::milliseconds(sent_ms);
  if (sent > now || peer.log_regressed) return;
  if (!peer.acknowledged || *peer.acknowledged < sent) peer.acknowledged = sent;
}

void Leadership::AdvanceCommit() {
  if (!active_) return;
  const auto agreed =
      QuorumValue<LogIndex>(state_.log.membership(), [&](const Member& member) {
        return std::optional<LogIndex>(MatchOf(member.id));
      });
  if (!agreed || *agreed <= state_.commit) return;
  // An earlier term's entry commits only together with one of this term.
  if (state_.log.TermAt(*agreed) != state_.hard.term) return;
  state_.commit = *agreed;
}

std::optional<Time> Leadership::QuorumAcknowledged(Time now) const {
  return QuorumValue<Time>(state_.log.membership(),
                           [&](const Member& member) -> std::optional<Time> {
                             if (member.id == state_.self) return now;
                             const auto peer = peers_.find(member.id);
                             if (peer == peers_.end()) return std::nullopt;
                             return peer->second.acknowledged;
                           });
}

bool Leadership::IsHeardByQuorum(Time now) const {
  if (!active_) return false;
  const auto heard = QuorumAcknowledged(now);
  return heard && now < *heard + LeaseDuration(state_.options);
}

bool Leadership::HoldsLease(Time now) const {
  return IsHeardByQuorum(now) && state_.applied >= first_of_term_;
}

bool Leadership::IsAlive(const ReplicaId& id, Time now) const {
  if (id == state_.self) return true;
  const auto peer = peers_.find(id);
  if (peer == peers_.end() || !peer->second.acknowledged) return false;
  return now < *peer->second.acknowledged + LeaseDuration(state_.options);
}

LogIndex Leadership::MatchOf(const ReplicaId& id) const {
  if (id == state_.self) return state_.outbox.synced_index();
  const auto peer = peers_.find(id);
  if (peer == peers_.end() || peer->second.log_regressed) return 0;
  return peer->second.match;
}

std::vector<MemberHealth> Leadership::Health(Time now) const {
  std::vector<MemberHealth> health;
  for (const Member& member : state_.log.membership().members) {
    MemberHealth one{member, MatchOf(member.id), now};
    if (member.id == state_.self) {
      health.insert(health.begin(), one);
      continue;
    }
    const auto peer = peers_.find(member.id);
    one.last_contact = peer == peers_.end()
                           ? elected_at_
                           : peer->second.acknowledged.value_or(elected_at_);
    health.push_back(one);
  }
  return health;
}

}  // namespace coltsfootfork

#include "core/replication/leadership.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coltsfootfork {

void Leadership::Start(Time now) {
  active_ = true;
  elected_at_ = now;
  state_.leader = state_.self;
  peers_.clear();
  proposals_.clear();
  uncommitted_bytes_ = 0;
  first_index_of_term_ = state_.log.last_index() + 1;
  state_.AppendEntry(
      {first_index_of_term_, state_.hard.term, EntryKind::kNoOp, {}, {}});
  state_.Emit(ReplicaEventKind::kLeaderElected, first_index_of_term_, {});
  UpdatePeersFromMembership(now);
  Broadcast(now);
}

void Leadership::Stop() {
  active_ = false;
  for (const auto& [index, proposal] : proposals_) {
    state_.outbox.Emit(
        ProposalDone{proposal, ProposalOutcome::kLeadershipLost, index});
  }
  proposals_.clear();
  peers_.clear();
}

void Leadership::Tick(Time now) {
  const auto acknowledged_at = QuorumAcknowledgedTime(now);
  // Without contact to a quorum for this long, another leader may exist: step
  // down, so that callers get the outcome of their proposals.
  const Time last_quorum_contact = acknowledged_at.value_or(elected_at_);
  if (now >= last_quorum_contact + 2 * state_.options.min_election_timeout) {
    state_.StepDown(state_.hard.term, now);
    return;
  }
  if (now >= next_heartbeat_) Broadcast(now);
}

void Leadership::OnPropose(const Propose& propose, Time now) {
  const std::size_t uncommitted = state_.log.last_index() - state_.commit;
  ProposalOutcome outcome = ProposalOutcome::kCommitted;
  if (!HoldsLease(now)) {
    outcome = ProposalOutcome::kNotLeader;
  } else if (uncommitted >= state_.options.max_uncommitted_entries ||
             uncommitted_bytes_ >= state_.options.max_uncommitted_bytes) {
    outcome = ProposalOutcome::kOverloaded;
  }
  if (outcome != ProposalOutcome::kCommitted) {
    state_.outbox.Emit(ProposalDone{propose.proposal, outcome, 0});
    return;
  }
  const LogIndex index = state_.log.last_index() + 1;
  proposals_[index] = propose.proposal;
  uncommitted_bytes_ += propose.command.size();
  state_.AppendEntry(
      {index, state_.hard.term, EntryKind::kCommand, propose.command, {}});
  ReplicateToAll(now);
}

void Leadership::ReplicateToAll(Time now) {
  for (auto& [id, peer] : peers_) Replicate(id, peer, now);
}

void Leadership::OnAppendReply(const ReplicaId& from, const AppendReply& reply,
                               Time now) {
  const auto found = peers_.find(from);
  if (found == peers_.end() || reply.term != state_.hard.term) return;
  Peer& peer = found->second;
  RecordAcknowledgement(peer, reply.sent_ms, now);
  if (!reply.accepted) {
    OnAppendRejected(from, peer, reply, now);
    return;
  }
  if (reply.index < peer.match || reply.index > state_.log.last_index()) return;
  // Only progress, or the reply to an AppendEntries without entries at `next`,
  // clears the in-flight state.
  if (reply.index >= peer.next) peer.in_flight = false;
  SetMatch(peer, reply.index, now);
  Replicate(from, peer, now);
}

void Leadership::SetMatch(Peer& peer, LogIndex index, Time now) {
  if (index > peer.match) peer.match_raised_ms = MillisecondsSinceElection(now);
  peer.match = index;
  peer.next = std::max(peer.next, peer.match + 1);
  AdvanceCommitIndex();
}

void Leadership::OnAppendRejected(const ReplicaId& id, Peer& peer,
                                  const AppendReply& reply, Time now) {
  // The reply belongs to an earlier request.
  if (reply.index + 1 != peer.next) return;
  if (reply.index <= peer.match) {
    // Ignore rejections of requests sent before the match index was raised.
    if (reply.sent_ms <= peer.match_raised_ms || peer.log_regressed) return;
    state_.Emit(ReplicaEventKind::kMemberLogRegressed, peer.match, id.process);
    peer.log_regressed = true;
    return;
  }
  peer.next = std::max(peer.match, std::min(reply.hint, reply.index - 1)) + 1;
  peer.in_flight = false;
  Replicate(id, peer, now);
}

void Leadership::OnSnapshotReply(const ReplicaId& from,
                                 const SnapshotReply& reply, Time now) {
  const auto found = peers_.find(from);
  if (found == peers_.end() || reply.term != state_.hard.term) return;
  Peer& peer = found->second;
  RecordAcknowledgement(peer, reply.sent_ms, now);
  if (reply.complete) {
    if (reply.index <= peer.match) return;
    peer.in_flight = false;
    SetMatch(peer, reply.index, now);
  } else {
    const bool is_duplicate = reply.next_offset == peer.snapshot_offset;
    if (reply.index != peer.snapshot_index || is_duplicate) return;
    peer.snapshot_offset = reply.next_offset;
    peer.in_flight = false;
  }
  Replicate(from, peer, now);
}

void Leadership::OnApplied(const LogEntry& entry) {
  const auto found = proposals_.find(entry.index);
  if (found == proposals_.end()) return;
  uncommitted_bytes_ -= entry.command.size();
  state_.outbox.Emit(
      ProposalDone{found->second, ProposalOutcome::kCommitted, entry.index});
  proposals_.erase(found);
}

void Leadership::UpdatePeersFromMembership(Time now) {
  const Membership& membership = state_.log.membership();
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    peer = membership.Find(peer->first) == nullptr ? peers_.erase(peer)
                                                   : std::next(peer);
  }
  for (const Member& member : membership.members) {
    if (member.id == state_.self || peers_.count(member.id) != 0) continue;
    Peer& peer = peers_[member.id];
    peer.next = state_.log.last_index() + 1;
    if (active_) Replicate(member.id, peer, now);
  }
}

void Leadership::Broadcast(Time now) {
  next_heartbeat_ = now + state_.options.heartbeat;
  for (auto& [id, peer] : peers_) {
    // A request unacknowledged after a heartbeat interval may be lost.
    if (now >= peer.sent_at + state_.options.heartbeat) peer.in_flight = false;
    SendEntries(id, peer, now);
  }
}

void Leadership::Replicate(const ReplicaId& id, Peer& peer, Time now) {
  if (peer.in_flight || peer.next > state_.log.last_index()) return;
  SendEntries(id, peer, now);
}

void Leadership::SendEntries(const ReplicaId& id, Peer& peer, Time now) {
  if (peer.next <= state_.log.base_index()) {
    SendChunk(id, peer, now);
    return;
  }
  AppendRequest request;
  request.term = state_.hard.term;
  request.prev_index = peer.next - 1;
  request.prev_term = state_.log.TermAt(request.prev_index).value_or(0);
  request.commit = state_.commit;
  request.sent_ms = MillisecondsSinceElection(now);
  // An unreachable peer gets only heartbeats until it replies.
  const bool is_first = peer.sent_at == Time();
  if (!peer.in_flight && (is_first || IsReachable(id, now))) {
    request.entries =
        state_.log.Slice(peer.next, state_.options.max_batch_bytes);
  }
  peer.in_flight = peer.in_flight || !request.entries.empty();
  peer.sent_at = now;
  state_.Send(id, std::move(request));
}

void Leadership::SendChunk(const ReplicaId& id, Peer& peer, Time now) {
  const Snapshot& snapshot = *state_.log.snapshot();
  if (peer.snapshot_index != snapshot.index ||
      peer.snapshot_offset > snapshot.bytes.size()) {
    peer.snapshot_index = snapshot.index;
    peer.snapshot_offset = 0;
  }
  SnapshotChunk chunk;
  chunk.term = state_.hard.term;
  chunk.index = snapshot.index;
  chunk.snapshot_term = snapshot.term;
  chunk.membership = snapshot.membership;
  chunk.offset = peer.snapshot_offset;
  chunk.total_bytes = snapshot.bytes.size();
  chunk.sent_ms = MillisecondsSinceElection(now);
  if (IsReachable(id, now)) {
    chunk.data = snapshot.bytes.substr(peer.snapshot_offset,
                                       state_.options.max_batch_bytes);
  }
  peer.in_flight = true;
  peer.sent_at = now;
  state_.Send(id, std::move(chunk));
}

std::uint64_t Leadership::MillisecondsSinceElection(Time now) const {
  return static_cast<std::uint64_t>(ToMilliseconds(now - elected_at_));
}

}  // namespace coltsfootfork

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "core/replication/peer.h"
#include "core/replication/replica_state.h"

namespace coltsfootfork {

// What a leader does: it takes proposals, sends the log to its members, counts
// what is synced where, and keeps its lease.
class Leadership {
 public:
  explicit Leadership(ReplicaState& state) : state_(state) {}

  void Start(Time now);
  // Ends what a leader had open, when the replica leads no more.
  void Stop();
  void Tick(Time now);

  void OnPropose(const Propose& propose, Time now);
  void OnAppendReply(const ReplicaId& from, const AppendReply& reply, Time now);
  void OnSnapshotReply(const ReplicaId& from, const SnapshotReply& reply,
                       Time now);
  // Something was synced here: the leader's own log counts as far.
  void OnPersisted() { AdvanceCommitIndex(); }
  // The entry is committed and applied.
  void OnApplied(const LogEntry& entry);

  // The peers follow the latest membership; new ones get the log at once.
  void UpdatePeersFromMembership(Time now);

  // Sends new entries to everyone who waits for some.
  void ReplicateToAll(Time now);

  bool is_active() const { return active_; }
  bool HoldsLease(Time now) const;
  // The lease alone, also while the first entry of the term is uncommitted.
  bool IsInContactWithQuorum(Time now) const;
  // True when the member has answered something sent within the lease.
  bool IsReachable(const ReplicaId& id, Time now) const;
  LogIndex MatchIndexOf(const ReplicaId& id) const;
  std::vector<MemberHealth> Health(Time now) const;

 private:
  void Broadcast(Time now);
  // Sends entries when there are any and none are under way.
  void Replicate(const ReplicaId& id, Peer& peer, Time now);
  void SendEntries(const ReplicaId& id, Peer& peer, Time now);
  void SendChunk(const ReplicaId& id, Peer& peer, Time now);
  void RecordAcknowledgement(Peer& peer, std::uint64_t sent_ms, Time now);
  void SetMatch(Peer& peer, LogIndex index, Time now);
  void OnAppendRejected(const ReplicaId& id, Peer& peer,
                        const AppendReply& reply, Time now);
  void AdvanceCommitIndex();
  std::optional<Time> QuorumAcknowledgedTime(Time now) const;
  std::uint64_t MillisecondsSinceElection(Time now) const;

  ReplicaState& state_;
  bool active_ = false;
  Time elected_at_;
  Time next_heartbeat_;
  LogIndex first_index_of_term_ = 0;
  PeerTable peers_;
  std::map<LogIndex, ProposalId> proposals_;
  std::size_t uncommitted_bytes_ = 0;
};

}  // namespace coltsfootfork

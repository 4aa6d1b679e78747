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

// The leader's part of the protocol: appends proposals, replicates the log to
// the members, advances the commit index and maintains the leader lease.
class Leadership {
 public:
  explicit Leadership(ReplicaState& state) : state_(state) {}

  void Start(Time now);
  // Drops the leader's state after loss of leadership, and reports its pending
  // proposals as kLeadershipLost.
  void Stop();
  void Tick(Time now);

  void OnPropose(const Propose& propose, Time now);
  void OnAppendReply(const ReplicaId& from, const AppendReply& reply, Time now);
  void OnSnapshotReply(const ReplicaId& from, const SnapshotReply& reply,
                       Time now);
  // Advances the commit index after a sync, which extends the leader's own
  // match index.
  void OnPersisted() { AdvanceCommitIndex(); }
  // Reports the outcome of the proposal at this committed and applied entry.
  void OnApplied(const LogEntry& entry);

  // Adds and removes peers to match the latest membership, and starts
  // replication to new peers at once.
  void UpdatePeersFromMembership(Time now);

  // Sends new entries to every peer without a request in flight.
  void ReplicateToAll(Time now);

  bool is_active() const { return active_; }
  bool HoldsLease(Time now) const;
  // True while a quorum's acknowledgements keep the lease valid, also before
  // the first entry of the term is applied.
  bool IsInContactWithQuorum(Time now) const;
  // True if the member has acknowledged a request sent within the lease
  // duration.
  bool IsReachable(const ReplicaId& id, Time now) const;
  LogIndex MatchIndexOf(const ReplicaId& id) const;
  std::vector<MemberHealth> Health(Time now) const;

 private:
  void Broadcast(Time now);
  // Sends entries if there are any and no request is in flight.
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

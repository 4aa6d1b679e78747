#pragma once

#include <set>

#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Campaigns when no leader is heard, and answers the campaigns of others.
class Election {
 public:
  explicit Election(ReplicaState& state) : state_(state) {}

  // Campaigns when it is time. True when the replica has become the leader.
  bool Tick(Time now);
  // `bound` is true while this replica itself leads with a lease.
  void OnVoteRequest(const ReplicaId& from, const VoteRequest& request,
                     bool has_leader_lease, Time now);
  bool OnVoteReply(const ReplicaId& from, const VoteReply& reply, Time now);
  // The replica's own vote counts once it is synced.
  bool OnPersisted(Time now);

 private:
  void StartPreVote(Time now);
  void StartVote(Time now);
  void RequestVotes(const VoteRequest& request);
  bool CanGrantVote(const ReplicaId& from, const VoteRequest& request) const;
  bool TallyVotes(Time now);
  bool HasQuorum() const;

  ReplicaState& state_;
  std::set<ReplicaId> granted_by_;
  PersistToken own_vote_token_ = 0;
};

}  // namespace coltsfootfork

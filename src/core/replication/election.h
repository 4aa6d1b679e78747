#pragma once

#include <set>

#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Runs elections: campaigns when the election timeout expires, and handles the
// vote requests of other candidates.
class Election {
 public:
  explicit Election(ReplicaState& state) : state_(state) {}

  // Campaigns when the election timeout has expired. Returns true when the
  // replica has become the leader.
  bool Tick(Time now);
  // `has_leader_lease` is true while this replica leads with a valid lease.
  void OnVoteRequest(const ReplicaId& from, const VoteRequest& request,
                     bool has_leader_lease, Time now);
  // Returns true when the reply completes an election won by this replica.
  bool OnVoteReply(const ReplicaId& from, const VoteReply& reply, Time now);
  // Counts the replica's own vote once it is synced. Returns true when that
  // wins the election.
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

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Founds a group out of new replicas, or finds the one that exists.
//
// The first of the seeds founds it, and only after every other seed has
// answered that it has no group either. So a seed that lost its folder cannot
// found a second group beside the first.
class GroupBootstrap {
 public:
  explicit GroupBootstrap(ReplicaState& state) : state_(state) {}

  void Tick(Time now);
  // `leads` is true while this replica leads with a lease.
  void OnProbe(const ReplicaId& from, const Probe& probe, bool has_leader_lease,
               Time now);
  void OnProbeReply(const ReplicaId& from, GroupId group,
                    const ProbeReply& reply, Time now);

  // Who has asked a leader to become a member, and is none.
  std::vector<JoinRequest> JoinRequests(Time now) const;

 private:
  bool IsSearching(Time now) const;
  void ProbeAll();
  bool CanBootstrap() const;
  void Bootstrap(Time now);

  ReplicaState& state_;
  Time next_probe_;
  // Seeds that have answered that they have no group.
  std::map<ProcessId, Member> uninitialized_seeds_;
  // Members that a reply has named.
  std::vector<ProcessId> known_members_;
  std::map<ReplicaId, JoinRequest> join_requests_;
};

}  // namespace coltsfootfork

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Bootstraps a group from new replicas, or discovers the existing group.
//
// Only the seed with the lowest id bootstraps the group, and only after every
// other seed has replied that it has no group. A seed that lost its data folder
// therefore can't create a second group.
class GroupBootstrap {
 public:
  explicit GroupBootstrap(ReplicaState& state) : state_(state) {}

  void Tick(Time now);
  // `has_leader_lease` is true while this replica leads with a valid lease.
  void OnProbe(const ReplicaId& from, const Probe& probe, bool has_leader_lease,
               Time now);
  void OnProbeReply(const ReplicaId& from, GroupId group,
                    const ProbeReply& reply, Time now);

  // Returns the unexpired requests of replicas that are not members.
  std::vector<JoinRequest> JoinRequests(Time now) const;

 private:
  bool IsSearching(Time now) const;
  void ProbeAll();
  bool CanBootstrap() const;
  void Bootstrap(Time now);

  ReplicaState& state_;
  Time next_probe_;
  // Seeds that have replied that they have no group.
  std::map<ProcessId, Member> uninitialized_seeds_;
  // Member processes from the latest reply of a replica that has a group.
  std::vector<ProcessId> known_members_;
  std::map<ReplicaId, JoinRequest> join_requests_;
};

}  // namespace coltsfootfork

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/core/replication/replica_options.h"
#include "coltsfootfork/core/replication/replica_role.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A replica that is not a member and has asked the leader to add it.
struct JoinRequest {
  ReplicaId replica;
  ZoneId zone;
  // When its latest probe arrived.
  Time last_contact;
};

// The leader's view of one member.
struct MemberHealth {
  Member member;
  // The member's log is synced and matches the leader's up to this index.
  LogIndex match = 0;
  // When the latest request that the member acknowledged was sent; the leader's
  // election for a member that has acknowledged none.
  Time last_contact;
};

// One replica of a Raft-like replicated log. It does no I/O: the caller
// executes the returned effects in order, and reports received messages and
// completed writes as inputs. A message that depends on a Persist is held until
// the matching PersistDone.
class Replica {
 public:
  // `now` is the startup time; `seed` drives the election timing and the group
  // id.
  Replica(const ReplicaOptions& options, RecoveredState recovered,
          std::uint64_t seed, Time now);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  std::vector<ReplicaEffect> Handle(const ReplicaInput& input, Time now);
  // Runs the timers. Call it a few times per heartbeat interval.
  std::vector<ReplicaEffect> Tick(Time now);

  ReplicaRole role() const;
  // The leader of the current term, if known.
  std::optional<ProcessId> leader() const;
  Term term() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  ReplicaId self() const;
  // The membership of the latest entry that changes it, committed or not.
  const Membership& membership() const;
  std::vector<ProcessId> voters() const;
  // True when the committed membership lists the replica as a voter outside a
  // joint consensus. Until then the loss of another voter can leave the group
  // without a quorum.
  bool IsCommittedVoter(const ReplicaId& id) const;

  // True for a leader that may act and serve linearizable reads at `now`: no
  // other replica can be elected before the lease expires, and all entries
  // committed before its term are applied here.
  bool HoldsLease(Time now) const;

  // The leader's view of all members, the leader first; empty on other
  // replicas.
  std::vector<MemberHealth> Health(Time now) const;
  // Unexpired join requests that this replica received as leader.
  std::vector<JoinRequest> JoinRequests(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace coltsfootfork

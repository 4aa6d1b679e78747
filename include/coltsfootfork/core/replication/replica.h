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

// A replica that is no member and asks to become one.
struct JoinRequest {
  ReplicaId replica;
  ZoneId zone;
  Time last_contact;
};

// What the leader knows of one member.
struct MemberHealth {
  Member member;
  // Synced and equal to the leader's log up to here.
  LogIndex match = 0;
  // When its last answer came; the election for one that never answered.
  Time last_contact;
};

// One replica of a log that a quorum keeps. It does no I/O: the caller carries
// out the returned effects in their order, and reports persisting and messages
// as inputs. Nothing that depends on a Persist leaves before its PersistDone.
class Replica {
 public:
  // `now` is the start; `seed` feeds the election timing and the group id.
  Replica(const ReplicaOptions& options, RecoveredState recovered,
          std::uint64_t seed, Time now);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  std::vector<ReplicaEffect> Handle(const ReplicaInput& input, Time now);
  // Call it a few times per heartbeat.
  std::vector<ReplicaEffect> Tick(Time now);

  ReplicaRole role() const;
  // The leader of the present term, as far as it is known.
  std::optional<ProcessId> leader() const;
  Term term() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  ReplicaId self() const;
  // The members of the latest membership entry, committed or not.
  const Membership& membership() const;
  std::vector<ProcessId> voters() const;
  // Whether the replica counts as a voter for good: the entry that says so is
  // committed, and no change of it is under way. Until then the loss of another
  // voter may end the group.
  bool IsCommittedVoter(const ReplicaId& id) const;

  // True only for a leader that may act and serve current reads at `now`: no
  // other replica can be elected before the lease is over, and everything
  // committed before its term is applied here.
  bool HoldsLease(Time now) const;

  // For a leader: its members, itself first, and who offers to become one.
  std::vector<MemberHealth> Health(Time now) const;
  std::vector<JoinRequest> JoinRequests(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace coltsfootfork

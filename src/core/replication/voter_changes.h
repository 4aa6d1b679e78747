#pragma once

#include <optional>

#include "core/replication/leadership.h"
#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Handles membership changes on the leader, one replica at a time.
class VoterChanges {
 public:
  VoterChanges(ReplicaState& state, Leadership& leadership)
      : state_(state), leadership_(leadership) {}

  void OnChange(const ChangeVoter& change, Time now);
  // Reports the outcome of the change once its last entry is committed.
  void OnApplied(const LogEntry& entry);
  // Leaves joint consensus once its entry is committed, also if an earlier
  // leader entered it. A leader that is not in the new configuration steps
  // down.
  void FinishChange(Time now);
  // Reports a pending change as kLeadershipLost.
  void Stop();

 private:
  using Refusal = std::optional<VoterChangeOutcome>;

  struct Pending {
    LogIndex index = 0;
    ChangeVoter change;
  };

  // Returns the reason to reject the change, if any.
  Refusal CheckChange(const ChangeVoter& change, Time now) const;
  Refusal CheckAdd(const ChangeVoter& change) const;
  Refusal CheckPromote(const ChangeVoter& change, Time now) const;
  Refusal CheckRemove(const ChangeVoter& change, Time now) const;
  Refusal CheckReplace(const ChangeVoter& change, Time now) const;
  bool IsCaughtUp(const ReplicaId& id, Time now) const;
  // Returns true if the caught-up members other than `excluded` form a quorum
  // of the membership after the change.
  bool HasQuorumWithout(const Membership& after, const ReplicaId& excluded,
                        Time now) const;
  void Append(const Membership& membership, Time now);

  ReplicaState& state_;
  Leadership& leadership_;
  std::optional<Pending> pending_;
};

}  // namespace coltsfootfork

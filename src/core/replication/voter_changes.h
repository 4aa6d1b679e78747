#pragma once

#include <optional>

#include "core/replication/leadership.h"
#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Changes the membership by one replica at a time, as the leader.
class VoterChanges {
 public:
  VoterChanges(ReplicaState& state, Leadership& leadership)
      : state_(state), leadership_(leadership) {}

  void OnChange(const ChangeVoter& change, Time now);
  // The entry is committed and applied.
  void OnApplied(const LogEntry& entry);
  // Ends the replacement of a voter once both majorities have it, also one
  // that an earlier leader began. A leader that is no lasting voter stops.
  void FinishChange(Time now);
  // The replica leads no more.
  void Stop();

 private:
  using Refusal = std::optional<VoterChangeOutcome>;

  struct Pending {
    LogIndex index = 0;
    ChangeVoter change;
  };

  // Why the change may not be made, or nothing.
  Refusal CheckChange(const ChangeVoter& change, Time now) const;
  Refusal CheckAdd(const ChangeVoter& change) const;
  Refusal CheckPromote(const ChangeVoter& change, Time now) const;
  Refusal CheckRemove(const ChangeVoter& change, Time now) const;
  Refusal CheckReplace(const ChangeVoter& change, Time now) const;
  bool IsCaughtUp(const ReplicaId& id, Time now) const;
  // Whether the group can go on after the change even without `missing`.
  bool HasQuorumWithout(const Membership& after, const ReplicaId& excluded,
                        Time now) const;
  void Append(const Membership& membership, Time now);

  ReplicaState& state_;
  Leadership& leadership_;
  std::optional<Pending> pending_;
};

}  // namespace coltsfootfork

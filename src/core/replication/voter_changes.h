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
  // The replica leads no more.
  void Stop();

 private:
  struct Pending {
    LogIndex index = 0;
    ChangeVoter change;
  };

  // Why the change may not be made, or nothing.
  std::optional<VoterChangeOutcome> Refusal(const ChangeVoter& change,
                                            Time now) const;
  std::optional<VoterChangeOutcome> RefusalOfAdd(
      const ChangeVoter& change) const;
  std::optional<VoterChangeOutcome> RefusalOfPromote(const ChangeVoter& change,
                                                     Time now) const;
  std::optional<VoterChangeOutcome> RefusalOfRemove(const ChangeVoter& change,
                                                    Time now) const;

  ReplicaState& state_;
  Leadership& leadership_;
  std::optional<Pending> pending_;
};

}  // namespace coltsfootfork

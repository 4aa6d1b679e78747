#pragma once

#include <string>

#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Takes entries and snapshots from the leader.
class LogReceiver {
 public:
  explicit LogReceiver(ReplicaState& state) : state_(state) {}

  void OnAppend(const ReplicaId& from, const AppendRequest& request, Time now);
  void OnChunk(const ReplicaId& from, const SnapshotChunk& chunk, Time now);

 private:
  // The snapshot that is being received.
  struct PartialSnapshot {
    LogIndex index = 0;
    Term term = 0;
    std::string bytes;
  };

  // False for a leader of an earlier term, which is told so.
  bool AcceptLeader(const ReplicaId& from, Term term, Time now);
  bool MatchesLog(const AppendRequest& request) const;
  LogIndex ConflictHint(const AppendRequest& request) const;
  void StoreEntries(const AppendRequest& request);
  void InstallSnapshot(const SnapshotChunk& chunk);

  ReplicaState& state_;
  PartialSnapshot partial_snapshot_;
};

}  // namespace coltsfootfork

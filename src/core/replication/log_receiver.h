#pragma once

#include <string>

#include "core/replication/replica_state.h"

namespace coltsfootfork {

// The follower's part of replication: stores the entries and snapshots that the
// leader sends.
class LogReceiver {
 public:
  explicit LogReceiver(ReplicaState& state) : state_(state) {}

  void OnAppend(const ReplicaId& from, const AppendRequest& request, Time now);
  void OnChunk(const ReplicaId& from, const SnapshotChunk& chunk, Time now);

 private:
  // The part of a snapshot that was received so far.
  struct PartialSnapshot {
    LogIndex index = 0;
    Term term = 0;
    std::string bytes;
  };

  // Returns false for a leader with a stale term, and replies with the current
  // term.
  bool AcceptLeader(const ReplicaId& from, Term term, Time now);
  bool MatchesLog(const AppendRequest& request) const;
  // Returns the last index at which the leader's log may match.
  LogIndex ConflictHint(const AppendRequest& request) const;
  void StoreEntries(const AppendRequest& request);
  void InstallSnapshot(const SnapshotChunk& chunk);

  ReplicaState& state_;
  PartialSnapshot partial_;
};

}  // namespace coltsfootfork

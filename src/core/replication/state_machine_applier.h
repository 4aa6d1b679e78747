#pragma once

#include "core/replication/replica_state.h"

namespace coltsfootfork {

// Applies committed entries to the state machine, and requests and stores its
// snapshots.
class StateMachineApplier {
 public:
  explicit StateMachineApplier(ReplicaState& state) : state_(state) {}

  // Applies the next committed entry. Returns null if there is none.
  const LogEntry* ApplyNext();
  void MaybeRequestSnapshot();
  void OnSnapshotTaken(const SnapshotTaken& taken);

 private:
  void RestoreRecoveredSnapshot();

  ReplicaState& state_;
  bool restored_ = false;
  bool snapshot_requested_ = false;
  // Bytes of the entries applied since the last snapshot.
  std::size_t applied_bytes_ = 0;
};

}  // namespace coltsfootfork

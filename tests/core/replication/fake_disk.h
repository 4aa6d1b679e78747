#pragma once

#include <cstddef>
#include <deque>

#include "coltsfootfork/core/replication/replica_io.h"

namespace coltsfootfork {

// Keeps what a replica persists, and forgets what was not synced at a crash.
class FakeDisk {
 public:
  explicit FakeDisk(Incarnation incarnation) {
    synced_.incarnation = incarnation;
  }

  void Write(const Persist& persist) { unsynced_.push_back(persist); }
  // Syncs the oldest write, and gives its token.
  PersistToken SyncOne();
  // Of the unsynced writes, the first `kept` happen to have reached the disk.
  void Crash(std::size_t kept);

  std::size_t unsynced_count() const { return unsynced_.size(); }
  const RecoveredState& synced() const { return synced_; }

 private:
  void Apply(const Persist& persist);

  RecoveredState synced_;
  std::deque<Persist> unsynced_;
};

}  // namespace coltsfootfork

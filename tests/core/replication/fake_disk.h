#pragma once

#include <cstddef>
#include <deque>

#include "coltsfootfork/core/replication/replica_io.h"

namespace coltsfootfork {

// Stores what a replica persists, and drops unsynced writes at a crash.
class FakeDisk {
 public:
  explicit FakeDisk(Incarnation incarnation) {
    synced_.incarnation = incarnation;
  }

  void Write(const Persist& persist) { unsynced_.push_back(persist); }
  // Syncs the oldest unsynced write and returns its token.
  PersistToken SyncOne();
  // Drops the unsynced writes, except the oldest `kept`.
  void Crash(std::size_t kept);

  std::size_t unsynced_count() const { return unsynced_.size(); }
  const RecoveredState& synced() const { return synced_; }

 private:
  void Apply(const Persist& persist);

  RecoveredState synced_;
  std::deque<Persist> unsynced_;
};

}  // namespace coltsfootfork

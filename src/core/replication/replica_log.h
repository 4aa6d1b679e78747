#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"

namespace coltsfootfork {

// The log of a replica in memory: the latest snapshot, a few entries before it
// for replicas that are slightly behind, and all entries after it.
class ReplicaLog {
 public:
  ReplicaLog(std::optional<Snapshot> snapshot, std::vector<LogEntry> entries);

  LogIndex last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const;
  // Index before the first entry in memory; the term at this index is known.
  LogIndex base_index() const { return base_index_; }
  LogIndex snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }
  const std::optional<Snapshot>& snapshot() const { return snapshot_; }

  // Returns no term if the entry is not in memory.
  std::optional<Term> TermAt(LogIndex index) const;
  // Returns null if the entry is not in memory.
  const LogEntry* At(LogIndex index) const;
  // The first index of the run of entries of one term that ends at `index`.
  LogIndex FirstOfTerm(LogIndex index) const;
  // Returns the entries from an index on, up to `max_bytes`, but at least one
  // if there is one.
  std::vector<LogEntry> Slice(LogIndex from, std::size_t max_bytes) const;

  // The entry's index must be last_index() + 1.
  void Append(LogEntry entry);
  void TruncateFrom(LogIndex index);
  // Drops the entries that the snapshot covers, except the last `trailing`.
  void Compact(Snapshot snapshot, std::size_t trailing);
  // Replaces all entries by the snapshot.
  void Reset(Snapshot snapshot);

  // The latest membership and the index of the entry that contains it.
  const Membership& membership() const { return memberships_.back().value; }
  LogIndex membership_index() const { return memberships_.back().index; }
  Membership MembershipAt(LogIndex index) const;

 private:
  struct IndexedMembership {
    LogIndex index = 0;
    Membership value;
  };

  void DropThrough(LogIndex index);

  std::optional<Snapshot> snapshot_;
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntry> entries_;
  // Never empty: the first is the membership in effect at the base index.
  std::vector<IndexedMembership> memberships_;
};

// Estimated size of an entry in a message.
std::size_t EntryBytes(const LogEntry& entry);

}  // namespace coltsfootfork

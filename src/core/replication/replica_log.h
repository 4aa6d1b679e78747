#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"

namespace coltsfootfork {

// The entries that a replica holds in memory: the last snapshot, a few entries
// before it for replicas that lag a little, and all entries after it.
class ReplicaLog {
 public:
  ReplicaLog(std::optional<Snapshot> snapshot, std::vector<LogEntry> entries);

  LogIndex last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const;
  // The entry before the first that is held; its term is known.
  LogIndex base_index() const { return base_index_; }
  LogIndex snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }
  const std::optional<Snapshot>& snapshot() const { return snapshot_; }

  // Nothing when the entry is not held.
  std::optional<Term> TermAt(LogIndex index) const;
  const LogEntry* At(LogIndex index) const;
  // The first index of the run of entries of one term that ends at `index`.
  LogIndex FirstOfTerm(LogIndex index) const;
  // Entries from an index on: at least one where there is one, then as many
  // as stay within the bound.
  std::vector<LogEntry> Slice(LogIndex from, std::size_t max_bytes) const;

  // The entry must follow the last one.
  void Append(LogEntry entry);
  void TruncateFrom(LogIndex index);
  // Drops entries that the snapshot covers, but for the last `trailing`.
  void Compact(Snapshot snapshot, std::size_t trailing);
  // Replaces everything by the snapshot.
  void Reset(Snapshot snapshot);

  // The latest membership and the index of the entry that it stands in.
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
  // Never empty: the first is the membership at or before the base.
  std::vector<IndexedMembership> memberships_;
};

// Roughly what an entry takes in a message.
std::size_t EntryBytes(const LogEntry& entry);

}  // namespace coltsfootfork

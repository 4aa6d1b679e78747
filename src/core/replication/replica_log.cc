#include "core/replication/replica_log.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::size_t kEntryOverheadBytes = 16;
constexpr std::size_t kMemberBytes = 48;

}  // namespace

std::size_t EntryBytes(const LogEntry& entry) {
  return kEntryOverheadBytes + entry.command.size() +
         kMemberBytes * entry.membership.members.size();
}

ReplicaLog::ReplicaLog(std::optional<Snapshot> snapshot,
                       std::vector<LogEntry> entries) {
  memberships_.push_back({});
  if (snapshot) Reset(std::move(*snapshot));
  for (LogEntry& entry : entries) {
    if (entry.index == last_index() + 1) Append(std::move(entry));
  }
}

Term ReplicaLog::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<Term> ReplicaLog::TermAt(LogIndex index) const {
  if (index == base_index_) return base_term_;
  if (snapshot_ && index == snapshot_->index) return snapshot_->term;
  const LogEntry* entry = At(index);
  if (entry == nullptr) return std::nullopt;
  return entry->term;
}

const LogEntry* ReplicaLog::At(LogIndex index) const {
  if (index <= base_index_ || index > last_index()) return nullptr;
  return &entries_[index - base_index_ - 1];
}

LogIndex ReplicaLog::FirstOfTerm(LogIndex index) const {
  const LogEntry* last = At(index);
  if (last == nullptr) return index;
  LogIndex first = index;
  while (At(first - 1) != nullptr && At(first - 1)->term == last->term) {
    --first;
  }
  return first;
}

std::vector<LogEntry> ReplicaLog::Slice(LogIndex from,
                                        std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= last_index(); ++index) {
    const LogEntry* entry = At(index);
    if (entry == nullptr) break;
    bytes += EntryBytes(*entry);
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(*entry);
  }
  return slice;
}

void ReplicaLog::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership) {
    memberships_.push_back({entry.index, entry.membership});
  }
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(LogIndex index) {
  while (last_index() >= index && !entries_.empty()) entries_.pop_back();
  while (memberships_.size() > 1 && memberships_.back().index >= index) {
    memberships_.pop_back();
  }
}

void ReplicaLog::Compact(Snapshot snapshot, std::size_t trailing) {
  snapshot_ = std::move(snapshot);
  const LogIndex index = snapshot_->index;
  DropThrough(index > trailing ? index - trailing : 0);
}

void ReplicaLog::Reset(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  entries_.clear();
  base_index_ = snapshot_->index;
  base_term_ = snapshot_->term;
  memberships_ = {{base_index_, snapshot_->membership}};
}

Membership ReplicaLog::MembershipAt(LogIndex index) const {
  auto at = memberships_.rbegin();
  while (std::next(at) != memberships_.rend() && at->index > index) ++at;
  return at->value;
}

void ReplicaLog::DropThrough(LogIndex index) {
  while (!entries_.empty() && entries_.front().index <= index) {
    base_index_ = entries_.front().index;
    base_term_ = entries_.front().term;
    entries_.pop_front();
  }
  while (memberships_.size() > 1 && memberships_[1].index <= base_index_) {
    memberships_.erase(memberships_.begin());
  }
}

}  // namespace coltsfootfork

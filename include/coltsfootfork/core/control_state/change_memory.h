#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// How long the answer to a Change-Id is kept. Operators' tools give up a
// resend within minutes.
inline constexpr std::chrono::hours kChangeRetention{48};
// Answers kept at most; the oldest are dropped first.
inline constexpr std::size_t kMaxChanges = 20000;

// The answer that a change got when it was first applied.
struct RememberedChange {
  std::string change_id;
  Revision expected = 0;
  std::string digest;
  std::chrono::milliseconds at{0};
  PutConfigurationReply reply;
};

// Answers to changes by their Change-Id, so that a resend gets the first
// answer again. Part of the replicated state. A change that is forgotten
// cannot be applied twice either: its expected revision is gone.
class ChangeMemory {
 public:
  const RememberedChange* Find(const std::string& change_id) const;
  void Remember(RememberedChange change);
  void Expire(std::chrono::milliseconds now);
  std::size_t size() const { return changes_.size(); }

  // All remembered changes, oldest first.
  std::vector<RememberedChange> List() const;

 private:
  void EraseOldest();

  std::map<std::string, RememberedChange> changes_;
  std::set<std::pair<std::chrono::milliseconds, std::string>> by_time_;
};

}  // namespace coltsfootfork

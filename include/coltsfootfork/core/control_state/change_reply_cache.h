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
inline constexpr std::chrono::hours kChangeReplyRetention{48};
// Answers kept at most; the oldest are dropped first.
inline constexpr std::size_t kMaxCachedChangeReplies = 20000;

// The answer that a change got when it was first applied.
struct CachedChangeReply {
  std::string change_id;
  Revision expected = 0;
  std::string digest;
  std::chrono::milliseconds at{0};
  PutConfigurationReply reply;
};

// Answers to changes by their Change-Id, so that a resend gets the first
// answer again. Part of the replicated state. A change that is forgotten
// cannot be applied twice either: its expected revision is gone.
class ChangeReplyCache {
 public:
  const CachedChangeReply* Find(const std::string& change_id) const;
  void Insert(CachedChangeReply change);
  void Expire(std::chrono::milliseconds now);
  std::size_t size() const { return replies_.size(); }

  // All remembered changes, oldest first.
  std::vector<CachedChangeReply> List() const;

 private:
  void EraseOldest();

  std::map<std::string, CachedChangeReply> replies_;
  std::set<std::pair<std::chrono::milliseconds, std::string>> by_time_;
};

}  // namespace coltsfootfork

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

// How long the reply to a Change-Id is kept. Operators' tools stop retrying a
// change after minutes.
inline constexpr std::chrono::hours kChangeReplyRetention{48};
// When the cache is full, the oldest reply is evicted.
inline constexpr std::size_t kMaxCachedChangeReplies = 20000;

// The reply that a change received when it was first applied.
struct CachedChangeReply {
  std::string change_id;
  Revision expected = 0;
  std::string digest;
  std::chrono::milliseconds applied_at{0};
  PutConfigurationReply reply;
};

// Maps a Change-Id to the reply to its change, so that a retry receives the
// original reply. Part of the replicated state. A change whose reply has
// expired still can't be applied twice, because its expected revision is no
// longer the current one.
class ChangeReplyCache {
 public:
  const CachedChangeReply* Find(const std::string& change_id) const;
  void Insert(CachedChangeReply change);
  void Expire(std::chrono::milliseconds now);
  std::size_t size() const { return replies_.size(); }

  // All cached replies, oldest first.
  std::vector<CachedChangeReply> List() const;

 private:
  void EraseOldest();

  std::map<std::string, CachedChangeReply> replies_;
  std::set<std::pair<std::chrono::milliseconds, std::string>> by_time_;
};

}  // namespace coltsfootfork

#include "coltsfootfork/core/control_state/change_reply_cache.h"

#include <utility>

namespace coltsfootfork {

const CachedChangeReply* ChangeReplyCache::Find(
    const std::string& change_id) const {
  const auto found = replies_.find(change_id);
  return found == replies_.end() ? nullptr : &found->second;
}

void ChangeReplyCache::Insert(CachedChangeReply change) {
  if (replies_.size() >= kMaxCachedChangeReplies) EraseOldest();
  by_time_.emplace(change.applied_at, change.change_id);
  std::string id = change.change_id;
  replies_.emplace(std::move(id), std::move(change));
}

void ChangeReplyCache::Expire(std::chrono::milliseconds now) {
  while (!by_time_.empty() &&
         by_time_.begin()->first + kChangeReplyRetention <= now) {
    EraseOldest();
  }
}

std::vector<CachedChangeReply> ChangeReplyCache::List() const {
  std::vector<CachedChangeReply> list;
  for (const auto& [time, id] : by_time_) list.push_back(replies_.at(id));
  return list;
}

void ChangeReplyCache::EraseOldest() {
  replies_.erase(by_time_.begin()->second);
  by_time_.erase(by_time_.begin());
}

}  // namespace coltsfootfork

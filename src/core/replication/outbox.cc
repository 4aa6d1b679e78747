#include "core/replication/outbox.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {

Persist& Outbox::staged() {
  has_staged_ = true;
  return staged_;
}

void Outbox::Emit(ReplicaEffect effect) {
  effects_.push_back(std::move(effect));
}

void Outbox::Send(SendReplicaMessage message) {
  effects_.emplace_back(std::move(message));
}

void Outbox::SendSynced(SendReplicaMessage message) {
  waiting_.push_back({Barrier(), std::move(message)});
}

PersistToken Outbox::Barrier() const {
  return has_staged_ ? issued_ + 1 : issued_;
}

void Outbox::OnPersistDone(PersistToken token) {
  done_ = std::max(done_, std::min(token, issued_));
  while (!outstanding_.empty() && outstanding_.front().token <= done_) {
    synced_index_ = outstanding_.front().last_index;
    outstanding_.pop_front();
  }
  for (const Outstanding& later : outstanding_) {
    if (later.truncate_from == 0) continue;
    synced_index_ = std::min(synced_index_, later.truncate_from - 1);
  }
}

std::vector<ReplicaEffect> Outbox::Flush(LogIndex last_index) {
  std::vector<ReplicaEffect> result;
  if (has_staged_) {
    staged_.token = ++issued_;
    const LogIndex void_from = staged_.snapshot_resets_log
                                   ? staged_.snapshot->index + 1
                                   : staged_.truncate_from.value_or(0);
    if (void_from != 0) {
      synced_index_ = std::min(synced_index_, void_from - 1);
    }
    outstanding_.push_back({issued_, last_index, void_from});
    result.emplace_back(std::move(staged_));
    staged_ = {};
    has_staged_ = false;
  }
  std::move(effects_.begin(), effects_.end(), std::back_inserter(result));
  effects_.clear();
  while (!waiting_.empty() && IsSynced(waiting_.front().token)) {
    result.emplace_back(std::move(waiting_.front().message));
    waiting_.pop_front();
  }
  return result;
}

void Outbox::Clear() {
  has_staged_ = false;
  staged_ = {};
  effects_.clear();
  waiting_.clear();
  outstanding_.clear();
}

}  // namespace coltsfootfork

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
  deferred_.push_back({Barrier(), std::move(message)});
}

PersistToken Outbox::Barrier() const {
  return has_staged_ ? last_issued_token_ + 1 : last_issued_token_;
}

void Outbox::OnPersistDone(PersistToken token) {
  last_synced_token_ =
      std::max(last_synced_token_, std::min(token, last_issued_token_));
  while (!pending_persists_.empty() &&
         pending_persists_.front().token <= last_synced_token_) {
    synced_index_ = pending_persists_.front().last_index;
    pending_persists_.pop_front();
  }
  for (const PendingPersist& later : pending_persists_) {
    if (later.truncate_from == 0) continue;
    synced_index_ = std::min(synced_index_, later.truncate_from - 1);
  }
}

std::vector<ReplicaEffect> Outbox::Flush(LogIndex last_index) {
  std::vector<ReplicaEffect> result;
  if (has_staged_) {
    staged_.token = ++last_issued_token_;
    const LogIndex void_from = staged_.snapshot_resets_log
                                   ? staged_.snapshot->index + 1
                                   : staged_.truncate_from.value_or(0);
    if (void_from != 0) {
      synced_index_ = std::min(synced_index_, void_from - 1);
    }
    pending_persists_.push_back({last_issued_token_, last_index, void_from});
    result.emplace_back(std::move(staged_));
    staged_ = {};
    has_staged_ = false;
  }
  std::move(effects_.begin(), effects_.end(), std::back_inserter(result));
  effects_.clear();
  while (!deferred_.empty() && IsSynced(deferred_.front().token)) {
    result.emplace_back(std::move(deferred_.front().message));
    deferred_.pop_front();
  }
  return result;
}

void Outbox::Clear() {
  has_staged_ = false;
  staged_ = {};
  effects_.clear();
  deferred_.clear();
  pending_persists_.clear();
}

}  // namespace coltsfootfork

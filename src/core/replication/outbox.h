#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "coltsfootfork/core/replication/replica_io.h"

namespace coltsfootfork {

// Gathers the effects of one input, and holds back every message that depends
// on something that is not synced yet.
class Outbox {
 public:
  explicit Outbox(LogIndex synced_index) : synced_index_(synced_index) {}

  // What the present input wants persisted.
  Persist& staged();
  void Emit(ReplicaEffect effect);
  // Sends without waiting: nothing in the message needs to be synced here.
  void Send(SendReplicaMessage message);
  // Sends once everything staged so far is synced.
  void SendSynced(SendReplicaMessage message);

  // The token that covers everything staged so far.
  PersistToken Barrier() const;
  bool IsSynced(PersistToken token) const {
    return last_synced_token_ >= token;
  }
  // All entries up to here are synced.
  LogIndex synced_index() const { return synced_index_; }

  void OnPersistDone(PersistToken token);
  // Ends the input: its effects, with the Persist before the messages.
  std::vector<ReplicaEffect> Flush(LogIndex last_index);
  // Forgets everything that waits.
  void Clear();

 private:
  struct DeferredMessage {
    PersistToken token = 0;
    SendReplicaMessage message;
  };
  struct PendingPersist {
    PersistToken token = 0;
    // The end of the log once this is synced.
    LogIndex last_index = 0;
    // Entries from here on are void; zero: none.
    LogIndex truncate_from = 0;
  };

  bool has_staged_ = false;
  Persist staged_;
  std::vector<ReplicaEffect> effects_;
  std::deque<DeferredMessage> deferred_;
  std::deque<PendingPersist> pending_persists_;
  PersistToken last_issued_token_ = 0;
  PersistToken last_synced_token_ = 0;
  LogIndex synced_index_ = 0;
};

}  // namespace coltsfootfork

#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "coltsfootfork/core/replication/replica_io.h"

namespace coltsfootfork {

// Collects the effects of one input, and defers each message that depends on an
// unsynced write until the sync.
class Outbox {
 public:
  explicit Outbox(LogIndex synced_index) : synced_index_(synced_index) {}

  // The write of the current input, created on first use.
  Persist& staged();
  void Emit(ReplicaEffect effect);
  // Sends at once, for messages that depend on no unsynced write.
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
  // Returns the effects of the current input, the Persist first, then the
  // messages whose writes are synced. `last_index` is the end of the log.
  std::vector<ReplicaEffect> Flush(LogIndex last_index);
  // Discards all effects, deferred messages and pending writes.
  void Clear();

 private:
  struct DeferredMessage {
    PersistToken token = 0;
    SendReplicaMessage message;
  };
  struct PendingPersist {
    PersistToken token = 0;
    // The last index of the log once this write is synced.
    LogIndex last_index = 0;
    // The write discards the entries from this index on; zero for none.
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

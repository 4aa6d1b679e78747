#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The leader's replication state of one other member.
struct Peer {
  // Index of the next entry to send.
  LogIndex next = 1;
  // The peer's log is synced and matches the leader's up to this index.
  LogIndex match = 0;
  // When `match` was last raised, in milliseconds since the election.
  std::uint64_t match_raised_ms = 0;
  // Entries or a snapshot chunk were sent and are not acknowledged yet.
  bool in_flight = false;
  // When the last message was sent.
  Time sent_at;
  // Send time of the latest request that the peer has acknowledged.
  std::optional<Time> acked_send;
  // Offset of the next chunk of the snapshot at `snapshot_index`, in bytes.
  LogIndex snapshot_index = 0;
  std::uint64_t snapshot_offset = 0;
  // The peer's log ended before an index that it had acknowledged. Its data
  // folder was replaced by an older copy, so its acknowledgements no longer
  // count.
  bool log_regressed = false;
};

using PeerTable = std::map<ReplicaId, Peer>;

}  // namespace coltsfootfork

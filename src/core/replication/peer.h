#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What a leader knows of one other member.
struct Peer {
  // The next entry to send.
  LogIndex next = 1;
  // Synced at the peer and equal to the leader's log up to here.
  LogIndex match = 0;
  // When the match was last raised, in milliseconds since the election.
  std::uint64_t match_raised_ms = 0;
  // Entries or a chunk were sent and are not answered yet.
  bool in_flight = false;
  // When the last message was sent.
  Time last_send_time;
  // When the last message that the peer has answered was sent.
  std::optional<Time> acked_send_time;
  // Where the next chunk of the snapshot at `snapshot_index` begins.
  LogIndex snapshot_index = 0;
  std::uint64_t snapshot_offset = 0;
  // The peer's log ended before what it had acknowledged. Its folder was
  // replaced by an older one, so it counts for nothing any more.
  bool log_regressed = false;
};

using PeerTable = std::map<ReplicaId, Peer>;

}  // namespace coltsfootfork

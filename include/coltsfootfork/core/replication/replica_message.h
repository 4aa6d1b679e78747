#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/types/ids.h"

// Messages between replicas.
namespace coltsfootfork {

// Requests a vote or, if `pre_vote` is set, asks whether the vote would be
// granted without changing the receiver's term.
struct VoteRequest {
  bool pre_vote = false;
  Term term = 0;
  LogIndex last_index = 0;
  Term last_term = 0;
};

struct VoteReply {
  bool pre_vote = false;
  Term term = 0;
  bool granted = false;
};

// Raft's AppendEntries: the entries after `prev_index`. Serves as heartbeat
// when it has no entries.
struct AppendRequest {
  Term term = 0;
  LogIndex prev_index = 0;
  Term prev_term = 0;
  LogIndex commit = 0;
  // Send time in milliseconds since the leader's election, rounded down. The
  // reply echoes it, and the lease is renewed from that time.
  std::uint64_t sent_ms = 0;
  std::vector<LogEntry> entries;
};

struct AppendReply {
  Term term = 0;
  bool accepted = false;
  // Accepted: the last index that matches and is synced.
  // Rejected: the `prev_index` that did not match.
  LogIndex index = 0;
  // Rejected: the last index that may match.
  LogIndex hint = 0;
  std::uint64_t sent_ms = 0;
};

// A part of a snapshot, for a replica whose next entry the leader has
// compacted.
struct SnapshotChunk {
  Term term = 0;
  LogIndex index = 0;
  Term snapshot_term = 0;
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t sent_ms = 0;
  std::string data;
};

struct SnapshotReply {
  Term term = 0;
  LogIndex index = 0;
  // Expected offset of the next chunk, in bytes.
  std::uint64_t next_offset = 0;
  // True if the snapshot, or a later state, is synced.
  bool complete = false;
  std::uint64_t sent_ms = 0;
};

// Discovery request of a replica that has no group or no leader. A leader
// records it as a join request if the sender is not a member.
struct Probe {
  ZoneId zone;
};

struct ProbeReply {
  ZoneId zone;
  // Empty if the replying replica knows no leader.
  ProcessId leader;
  // The processes of all members that the replying replica knows.
  std::vector<ProcessId> members;
};

// Rejects a request of a leader with a stale term. It does not renew the lease:
// the sender may have been elected again since then, in `term`.
struct StaleTermReply {
  Term term = 0;
};

using ReplicaMessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, Probe, ProbeReply,
                 StaleTermReply>;

struct ReplicaMessage {
  Incarnation from = 0;
  // Zero if the sender does not know the receiver's incarnation; only probes
  // may set zero.
  Incarnation to = 0;
  // The sender's group; zero if it has none.
  GroupId group = 0;
  ReplicaMessageBody body;
};

}  // namespace coltsfootfork

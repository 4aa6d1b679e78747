#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/types/ids.h"

// What replicas of one group say to each other.
namespace coltsfootfork {

// Asks for a vote, or, before that, whether one would be granted.
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

// Entries after `prev_index`; without entries it is a heartbeat.
struct AppendRequest {
  Term term = 0;
  LogIndex prev_index = 0;
  Term prev_term = 0;
  LogIndex commit = 0;
  // Milliseconds from the leader's election to this message, rounded down.
  // Comes back in the reply, which renews the lease from then on.
  std::uint64_t sent_ms = 0;
  std::vector<LogEntry> entries;
};

struct AppendReply {
  Term term = 0;
  bool accepted = false;
  // Accepted: the last index that is known to match and synced.
  // Refused: the `prev_index` that did not fit.
  LogIndex index = 0;
  // Refused: the last index that may fit.
  LogIndex hint = 0;
  std::uint64_t sent_ms = 0;
};

// A piece of a snapshot, for a replica whose next entry is compacted away.
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
  // Where the next chunk must begin.
  std::uint64_t next_offset = 0;
  // The snapshot, or a later state, is synced.
  bool complete = false;
  std::uint64_t sent_ms = 0;
};

// Looks for a group: from a replica that has none, or hears of no leader.
struct Probe {
  ZoneId zone;
};

struct ProbeReply {
  ZoneId zone;
  // Empty when the answering replica knows of none.
  ProcessId leader;
  // All processes that are members, as far as the answering replica knows.
  std::vector<ProcessId> members;
};

// Answers a leader of an earlier term. It renews nothing: the sender may have
// been elected again since, in the term that this names.
struct StaleTermReply {
  Term term = 0;
};

using ReplicaMessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, Probe, ProbeReply,
                 StaleTermReply>;

struct ReplicaMessage {
  Incarnation from = 0;
  // Zero: the sender does not know it yet; only probes may say so.
  Incarnation to = 0;
  // The sender's group; zero while it has none.
  GroupId group = 0;
  ReplicaMessageBody body;
};

}  // namespace coltsfootfork

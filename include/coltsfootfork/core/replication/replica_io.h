#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/replication/replica_message.h"
#include "coltsfootfork/core/types/ids.h"

// Inputs and effects of a replica.
namespace coltsfootfork {

using PersistToken = std::uint64_t;
using ProposalId = std::uint64_t;

struct ReplicaMessageReceived {
  ProcessId from;
  ReplicaMessage message;
};

// This Persist and all earlier ones are synced.
struct PersistDone {
  PersistToken token = 0;
};

// The data folder cannot be trusted any more: the replica halts.
struct PersistFailed {
  PersistToken token = 0;
};

struct Propose {
  ProposalId proposal = 0;
  std::string command;
};

// Answers TakeSnapshot: the state after the command at `index`.
struct SnapshotTaken {
  LogIndex index = 0;
  std::string bytes;
};

enum class VoterChangeKind : std::uint8_t {
  kAddLearner = 0,
  // Makes a learner a further voter.
  kPromote,
  kRemove,
  // Puts a learner in the place of a voter. What can be lost meanwhile is no
  // less than before.
  kReplace,
};

// Changes the membership by one replica.
struct ChangeVoter {
  VoterChangeKind kind = VoterChangeKind::kAddLearner;
  ReplicaId replica;
  // Used by kAddLearner.
  ZoneId zone;
  // Used by kReplace: the voter that goes.
  ReplicaId leaving;
};

using ReplicaInput =
    std::variant<ReplicaMessageReceived, PersistDone, PersistFailed, Propose,
                 SnapshotTaken, ChangeVoter>;

struct SendReplicaMessage {
  ProcessId to;
  ReplicaMessage message;
};

// Write in this order and sync, then report the token. Tokens go up by one.
struct Persist {
  PersistToken token = 0;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;
  // The snapshot replaces the whole log; otherwise entries after it stay.
  bool snapshot_resets_log = false;
  // Entries from this index on are void.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> append;
};

// Apply in order of the index; each index comes once in a replica's life.
struct ApplyCommand {
  LogIndex index = 0;
  Term term = 0;
  std::string command;
};

// Replace the state machine's state.
struct ApplySnapshot {
  LogIndex index = 0;
  std::string bytes;
};

enum class ProposalOutcome : std::uint8_t {
  // Committed; its ApplyCommand came just before.
  kCommitted = 0,
  // Leadership was lost: it may still commit, or not.
  kLeadershipLost,
  // Not appended: this replica does not hold the lease.
  kNotLeader,
  // Not appended: too much is uncommitted already.
  kOverloaded,
};

struct ProposalDone {
  ProposalId proposal = 0;
  ProposalOutcome outcome = ProposalOutcome::kNotLeader;
  // Where the command stands; set for kCommitted and kLost.
  LogIndex index = 0;
};

enum class VoterChangeOutcome : std::uint8_t {
  kCommitted = 0,
  kLeadershipLost,
  kNotLeader,
  // Another change is not committed yet.
  kBusy,
  // The learner has not caught up and synced.
  kNotCaughtUp,
  // Without the replica concerned, no quorum would be ready afterwards.
  kUnsafe,
  // Unknown replica, already there, or the leader itself.
  kInvalid,
};

struct VoterChangeDone {
  ChangeVoter change;
  VoterChangeOutcome outcome = VoterChangeOutcome::kInvalid;
};

// Answer with SnapshotTaken once everything up to `index` is applied.
struct TakeSnapshot {
  LogIndex index = 0;
};

enum class ReplicaEventKind : std::uint8_t {
  kGroupBootstrapped = 0,
  kGroupJoined,
  kLeaderElected,
  kLeaderLost,
  kMembershipChanged,
  kSnapshotInstalled,
  kSnapshotStored,
  kForeignGroup,
  kMemberLogRegressed,
  kHalted,
};

struct LogEvent {
  ReplicaEventKind kind = ReplicaEventKind::kHalted;
  Term term = 0;
  LogIndex index = 0;
  // The replica concerned, where it is another one.
  ProcessId process;
};

using ReplicaEffect =
    std::variant<SendReplicaMessage, Persist, ApplyCommand, ApplySnapshot,
                 ProposalDone, VoterChangeDone, TakeSnapshot, LogEvent>;

}  // namespace coltsfootfork

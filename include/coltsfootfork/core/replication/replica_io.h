#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/replication/replica_message.h"
#include "coltsfootfork/core/types/ids.h"

// Inputs that a replica handles and effects that it returns.
namespace coltsfootfork {

using PersistToken = std::uint64_t;
using ProposalId = std::uint64_t;

struct ReplicaMessageReceived {
  ProcessId from;
  ReplicaMessage message;
};

// Reports that this Persist and all earlier ones are synced.
struct PersistDone {
  PersistToken token = 0;
};

// Reports a failed write or sync. The replica halts, since the state of its
// data folder is unknown.
struct PersistFailed {
  PersistToken token = 0;
};

struct Propose {
  ProposalId proposal = 0;
  std::string command;
};

// Completes TakeSnapshot with the serialized state after the entry at `index`.
struct SnapshotTaken {
  LogIndex index = 0;
  std::string bytes;
};

enum class VoterChangeKind : std::uint8_t {
  kAddLearner = 0,
  // Makes a learner an additional voter.
  kPromote,
  kRemove,
  // Replaces a voter by a learner through joint consensus. Fault tolerance does
  // not drop meanwhile.
  kReplace,
};

// Changes the membership by one replica.
struct ChangeVoter {
  VoterChangeKind kind = VoterChangeKind::kAddLearner;
  ReplicaId replica;
  // Used by kAddLearner.
  ZoneId zone;
  // Used by kReplace: the voter to remove.
  ReplicaId leaving;
};

using ReplicaInput =
    std::variant<ReplicaMessageReceived, PersistDone, PersistFailed, Propose,
                 SnapshotTaken, ChangeVoter>;

struct SendReplicaMessage {
  ProcessId to;
  ReplicaMessage message;
};

// Asks the caller to write the fields in this order, sync them, and report the
// token with PersistDone. Tokens increase by one.
struct Persist {
  PersistToken token = 0;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;
  // True if the snapshot replaces the whole log; otherwise the entries after it
  // are kept.
  bool snapshot_resets_log = false;
  // Discards the entries from this index on.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> append;
};

// Asks the caller to apply a committed command to the state machine. Commands
// come in index order, each at most once while the replica object exists.
struct ApplyCommand {
  LogIndex index = 0;
  Term term = 0;
  std::string command;
};

// Asks the caller to replace the state of the state machine.
struct ApplySnapshot {
  LogIndex index = 0;
  std::string bytes;
};

enum class ProposalOutcome : std::uint8_t {
  // Committed; the matching ApplyCommand precedes this effect.
  kCommitted = 0,
  // The replica lost leadership before the commit; the entry may still commit.
  kLeadershipLost,
  // Not appended: this replica does not hold the leader lease.
  kNotLeader,
  // Not appended: too many entries or bytes are uncommitted.
  kOverloaded,
};

struct ProposalDone {
  ProposalId proposal = 0;
  ProposalOutcome outcome = ProposalOutcome::kNotLeader;
  // Index of the command's entry; set for kCommitted and kLeadershipLost.
  LogIndex index = 0;
};

enum class VoterChangeOutcome : std::uint8_t {
  kCommitted = 0,
  kLeadershipLost,
  kNotLeader,
  // Another membership change is in progress.
  kBusy,
  // The learner is unreachable or its synced log is behind the commit index.
  kNotCaughtUp,
  // The new configuration would lose its quorum if the replica concerned
  // failed.
  kUnsafe,
  // Unknown replica or voter, already a member, the leader itself, or too many
  // members.
  kInvalid,
};

struct VoterChangeDone {
  ChangeVoter change;
  VoterChangeOutcome outcome = VoterChangeOutcome::kInvalid;
};

// Asks the caller for a snapshot of the state after the entry at `index`, to be
// returned as SnapshotTaken.
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

// Asks the caller to log a change of the replica.
struct LogEvent {
  ReplicaEventKind kind = ReplicaEventKind::kHalted;
  Term term = 0;
  LogIndex index = 0;
  // The process concerned, if it is not this replica's.
  ProcessId process;
};

using ReplicaEffect =
    std::variant<SendReplicaMessage, Persist, ApplyCommand, ApplySnapshot,
                 ProposalDone, VoterChangeDone, TakeSnapshot, LogEvent>;

}  // namespace coltsfootfork

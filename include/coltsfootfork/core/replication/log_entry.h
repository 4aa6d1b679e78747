#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

// Types of the replicated log, shared by memory and disk.
namespace coltsfootfork {

using Term = std::uint64_t;
// Position of an entry in the log. The first entry has index 1.
using LogIndex = std::uint64_t;
// Random number of a data folder. An emptied folder gets a new incarnation, so
// that earlier votes and acknowledgements are not attributed to it.
using Incarnation = std::uint64_t;
// Random number of a replica group. Zero means that there is no group yet.
using GroupId = std::uint64_t;

// Identifies a replica: a process together with its data folder.
struct ReplicaId {
  ProcessId process;
  Incarnation incarnation = 0;

  friend bool operator==(const ReplicaId& a, const ReplicaId& b) {
    return a.process == b.process && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const ReplicaId& a, const ReplicaId& b) {
    return !(a == b);
  }
  friend bool operator<(const ReplicaId& a, const ReplicaId& b) {
    return a.process != b.process ? a.process < b.process
                                  : a.incarnation < b.incarnation;
  }
};

enum class MemberRole : std::uint8_t {
  // Receives the log, but does not vote.
  kLearner = 0,
  kVoter,
  // Replaces a leaving voter. The membership is in joint consensus meanwhile:
  // a quorum needs a majority of the old and one of the new configuration.
  kJoining,
  // Votes only in the old configuration of a joint consensus.
  kLeaving,
};

struct Member {
  ReplicaId id;
  ZoneId zone;
  MemberRole role = MemberRole::kLearner;

  bool IsVoter() const { return role != MemberRole::kLearner; }
  // Outside a joint consensus both configurations are the same.
  bool VotesInOldConfig() const {
    return role == MemberRole::kVoter || role == MemberRole::kLeaving;
  }
  bool VotesInNewConfig() const {
    return role == MemberRole::kVoter || role == MemberRole::kJoining;
  }

  friend bool operator==(const Member& a, const Member& b) {
    return a.id == b.id && a.zone == b.zone && a.role == b.role;
  }
};

// The members of the group, sorted by id.
struct Membership {
  std::vector<Member> members;

  const Member* Find(const ReplicaId& id) const {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const Member& member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
  }
  bool IsVoter(const ReplicaId& id) const {
    const Member* member = Find(id);
    return member != nullptr && member->IsVoter();
  }
  // True while a voter is being replaced.
  bool IsInJointConsensus() const {
    return std::any_of(members.begin(), members.end(), [](const Member& one) {
      return one.role == MemberRole::kJoining ||
             one.role == MemberRole::kLeaving;
    });
  }
  // The number of voters in the new configuration.
  std::size_t VoterCount() const {
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(),
        [](const Member& one) { return one.VotesInNewConfig(); }));
  }

  friend bool operator==(const Membership& a, const Membership& b) {
    return a.members == b.members;
  }
};

enum class EntryKind : std::uint8_t {
  // Appended by a new leader: committing it also commits the entries of earlier
  // terms.
  kNoOp = 0,
  kCommand,
  kMembership,
};

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  // Set for kCommand: opaque to the replica, decoded by the state machine.
  std::string command;
  // Set for kMembership: in effect from this entry on.
  Membership membership;

  friend bool operator==(const LogEntry& a, const LogEntry& b) {
    return a.index == b.index && a.term == b.term && a.kind == b.kind &&
           a.command == b.command && a.membership == b.membership;
  }
};

// Raft's persistent state of a replica besides its log.
struct HardState {
  GroupId group = 0;
  Term term = 0;
  // The candidate that received this replica's vote in `term`.
  std::optional<ReplicaId> vote;

  friend bool operator==(const HardState& a, const HardState& b) {
    return a.group == b.group && a.term == b.term && a.vote == b.vote;
  }
};

// The full state of the state machine after the entry at `index`.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::string bytes;
};

// The persistent state that a replica recovers at startup.
struct RecoveredState {
  Incarnation incarnation = 0;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  // Consecutive indexes; the first is at most the snapshot's index plus one.
  std::vector<LogEntry> entries;
};

}  // namespace coltsfootfork

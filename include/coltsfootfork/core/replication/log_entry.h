#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

// What the replicated log is made of, in memory and on disk.
namespace coltsfootfork {

using Term = std::uint64_t;
// The place of an entry in the log. The first entry has index 1.
using LogIndex = std::uint64_t;
// Random number of a data folder. An emptied folder gets a new one, so that it
// never speaks for what it has forgotten.
using Incarnation = std::uint64_t;
// Random number of a replica group. Zero means: of no group yet.
using GroupId = std::uint64_t;

// One replica: a process together with the data folder it writes to.
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
  // Gets the log, but does not count.
  kLearner = 0,
  kVoter,
  // Takes the place of a leaving voter. Until that is settled, a majority
  // before and a majority after the change must both agree.
  kJoining,
  kLeaving,
};

struct Member {
  ReplicaId id;
  ZoneId zone;
  MemberRole role = MemberRole::kLearner;

  bool IsVoter() const { return role != MemberRole::kLearner; }
  // Whether it counts before, and after, the change under way.
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

// Who takes part in the group. Members are kept in the order of their ids.
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
  // A voter is being replaced, and that is not settled yet.
  bool IsInJointConsensus() const {
    return std::any_of(members.begin(), members.end(), [](const Member& one) {
      return one.role == MemberRole::kJoining ||
             one.role == MemberRole::kLeaving;
    });
  }
  // How many count once no change is under way any more.
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
  // Appended by a new leader, so that it can commit what it found.
  kNoOp = 0,
  kCommand,
  kMembership,
};

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  // Set for kCommand: opaque bytes of the state machine.
  std::string command;
  // Set for kMembership: the members from this entry on.
  Membership membership;

  friend bool operator==(const LogEntry& a, const LogEntry& b) {
    return a.index == b.index && a.term == b.term && a.kind == b.kind &&
           a.command == b.command && a.membership == b.membership;
  }
};

// What a replica must not forget besides its log.
struct HardState {
  GroupId group = 0;
  Term term = 0;
  // Whom the replica voted for in this term.
  std::optional<ReplicaId> vote;

  friend bool operator==(const HardState& a, const HardState& b) {
    return a.group == b.group && a.term == b.term && a.vote == b.vote;
  }
};

// The state machine's whole state after the entry at `index`.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::string bytes;
};

// What the data folder held at the start.
struct RecoveredState {
  Incarnation incarnation = 0;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  // Consecutive; the first follows the snapshot's index or lies before it.
  std::vector<LogEntry> entries;
};

}  // namespace coltsfootfork

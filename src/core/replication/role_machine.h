#pragma once

#include <cstdint>
#include <memory>

#include "coltsfootfork/core/replication/replica_role.h"

namespace coltsfootfork {

// What moves a replica from one role to another.
enum class RoleEvent : std::uint8_t {
  // The replica's own log names it as a voter.
  kBecameVoter = 0,
  // It belongs to a group, but its own log does not name it as a voter.
  kBecameLearner,
  kElectionTimeout,
  kPreVoteWon,
  kVoteWon,
  // A later term, a leader of this term, or no quorum.
  kSteppedDown,
  kDiskFailed,
};

// The life cycle of a replica. An event that has no place in the present role
// changes nothing.
class RoleMachine {
 public:
  RoleMachine();
  ~RoleMachine();
  RoleMachine(RoleMachine&&) noexcept;
  RoleMachine& operator=(RoleMachine&&) noexcept;
  RoleMachine(const RoleMachine&) = delete;
  RoleMachine& operator=(const RoleMachine&) = delete;

  void Process(RoleEvent event);
  ReplicaRole role() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace coltsfootfork

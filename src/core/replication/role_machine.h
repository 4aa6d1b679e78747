#pragma once

#include <cstdint>
#include <memory>

#include "coltsfootfork/core/replication/replica_role.h"

namespace coltsfootfork {

// Events that change the role of a replica.
enum class RoleEvent : std::uint8_t {
  // The replica's own log lists it as a voter.
  kBecameVoter = 0,
  // The replica has a group, but its own log does not list it as a voter.
  kBecameLearner,
  kElectionTimeout,
  kPreVoteWon,
  kVoteWon,
  // Saw a later term or a leader of this term, or lost contact with the quorum.
  kSteppedDown,
  kDiskFailed,
};

// State machine of a replica's role. An event without a transition from the
// current role is ignored.
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

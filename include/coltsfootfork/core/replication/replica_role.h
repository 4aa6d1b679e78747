#pragma once

#include <cstdint>

namespace coltsfootfork {

// Raft role of a replica, including its startup and failure states.
enum class ReplicaRole : std::uint8_t {
  // Has no group yet.
  kUninitialized = 0,
  // Receives the log, but is not a voter.
  kLearner,
  kFollower,
  // Runs the pre-vote round, which does not change the term.
  kPreCandidate,
  kCandidate,
  kLeader,
  // Writing to the data folder failed; the process must be restarted.
  kHalted,
};

}  // namespace coltsfootfork

#pragma once

#include <cstdint>

namespace coltsfootfork {

// Where a replica stands in its life cycle.
enum class ReplicaRole : std::uint8_t {
  // Member of no group yet.
  kUninitialized = 0,
  // Gets the log, but does not count.
  kLearner,
  kFollower,
  // Asks whether it would get votes.
  kPreCandidate,
  kCandidate,
  kLeader,
  // The data folder failed; only a restart helps.
  kHalted,
};

}  // namespace coltsfootfork

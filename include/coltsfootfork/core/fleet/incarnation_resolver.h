#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Orders the incarnations of a server whose clock was set back. An incarnation
// is numbered by its start time, by the server's own clock, so that a server
// that restarts under its id after its clock was set back has a lower number
// than before. Its heartbeats look like delayed ones of a dead incarnation.
//
// Heartbeats that keep arriving over some seconds are not delayed ones: the
// incarnation then gets a number above the known one, and the number that it
// reports itself is kept in ServerRecord::reported_incarnation.
//
// An incarnation that a later one has replaced stays dead, however its
// heartbeats arrive.
class IncarnationResolver {
 public:
  // How many heartbeats, and over which time, show that an incarnation is
  // alive. Servers send one about every 1.2 seconds; delayed ones arrive
  // together once a partition has healed.
  static constexpr std::uint32_t kMinHeartbeats = 3;
  static constexpr Duration kMinDuration = std::chrono::seconds(2);

  // Returns the heartbeat with the incarnation by which the directory orders
  // it. `known` is the server's entry in the directory, or null.
  ServerRecord Resolve(const ServerRecord& heartbeat,
                       const ServerDirectory::Entry* known, Time now);

  // Returns the incarnation by which the directory orders `reported`.
  static std::uint64_t KnownIncarnation(std::uint64_t reported,
                                        const ServerRecord* known);

 private:
  // Servers that are observed; more are ignored until others are forgotten.
  static constexpr std::size_t kMaxObserved = 256;
  // Without a heartbeat for this long, an incarnation is forgotten.
  static constexpr Duration kForgetAfter = std::chrono::seconds(10);

  struct Observation {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t heartbeats = 0;
    Time first;
    Time last;
  };

  // Returns whether the incarnation has shown that it is alive.
  bool Observe(const ServerRecord& heartbeat, Time now);

  std::map<ServerId, Observation> observations_;
};

}  // namespace coltsfootfork

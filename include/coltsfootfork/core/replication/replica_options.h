#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

inline constexpr std::size_t kBytesPerKibibyte = 1024;
inline constexpr std::size_t kBytesPerMebibyte = 1024 * kBytesPerKibibyte;

// Settings of a replica. All replicas of a group must agree on the times.
struct ReplicaOptions {
  ProcessId self;
  ZoneId zone;
  // The processes that found the group when all of them are new. Others, and
  // founders with an emptied folder, find the group through them.
  std::vector<ProcessId> seeds;

  Duration heartbeat = std::chrono::milliseconds(250);
  // No vote is granted for this long after a leader was heard. A replica
  // campaigns after one to two times this long without a leader.
  Duration min_election_timeout = std::chrono::milliseconds(1500);
  // How far two monotonic clocks may differ in speed.
  std::uint32_t clock_drift_permille = 10;
  Duration probe_interval = std::chrono::milliseconds(1000);

  std::size_t max_batch_bytes = 64 * kBytesPerKibibyte;
  std::size_t max_uncommitted_entries = 4096;
  std::size_t max_uncommitted_bytes = 16 * kBytesPerMebibyte;

  // A snapshot is taken after so many entries or bytes since the last one.
  std::size_t snapshot_entries = 2000;
  std::size_t snapshot_bytes = 8 * kBytesPerMebibyte;
  // Entries kept before the snapshot, for replicas that lag a little.
  std::size_t trailing_entries = 200;
};

// How long a leader may act after it sent what a quorum has answered. Shorter
// than the voters' election minimum by twice the drift bound, so that it is
// over by every clock before a voter grants the next vote.
inline Duration LeaseDuration(const ReplicaOptions& options) {
  constexpr std::int64_t kPermille = 1000;
  const std::int64_t drift = 2 * std::int64_t{options.clock_drift_permille};
  return options.min_election_timeout * (kPermille - drift) / kPermille;
}

}  // namespace coltsfootfork

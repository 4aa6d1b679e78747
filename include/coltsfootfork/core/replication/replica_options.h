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

// Settings of a replica. All durations must be the same across a group.
struct ReplicaOptions {
  ProcessId self;
  ZoneId zone;
  // The bootstrap voters, which form the group if all of them are new. Other
  // replicas, and bootstrap voters with an emptied data folder, discover the
  // group through them.
  std::vector<ProcessId> seeds;

  Duration heartbeat = std::chrono::milliseconds(250);
  // A replica grants no vote for this long after contact with a leader, and
  // campaigns after a random one to two times this long without contact.
  Duration min_election_timeout = std::chrono::milliseconds(1500);
  // Maximum difference in rate between two monotonic clocks.
  std::uint32_t clock_drift_permille = 10;
  Duration probe_interval = std::chrono::milliseconds(1000);

  std::size_t max_batch_bytes = 64 * kBytesPerKibibyte;
  std::size_t max_uncommitted_entries = 4096;
  std::size_t max_uncommitted_bytes = 16 * kBytesPerMebibyte;

  // A snapshot is taken after this many entries or bytes since the last one.
  std::size_t snapshot_entries = 2000;
  std::size_t snapshot_bytes = 8 * kBytesPerMebibyte;
  // Entries kept before the snapshot for replicas that are slightly behind, so
  // that they need no snapshot transfer.
  std::size_t trailing_entries = 200;
};

// Duration of the leader lease, counted from the send time of the latest
// request that a quorum acknowledged. It is shorter than the minimum election
// timeout by twice the clock drift bound, so that it expires by every clock
// before a voter grants another vote.
inline Duration LeaseDuration(const ReplicaOptions& options) {
  constexpr std::int64_t kPermille = 1000;
  const std::int64_t drift = 2 * std::int64_t{options.clock_drift_permille};
  return options.min_election_timeout * (kPermille - drift) / kPermille;
}

}  // namespace coltsfootfork

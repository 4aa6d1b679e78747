#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfootfork {

// What the log of one replica costs on this machine's disk.
struct StorageCost {
  std::uint64_t folder_bytes = 0;
  double log_bytes_per_change = 0;
  std::chrono::microseconds median_write{0};
  // From opening the folder until every change is applied again.
  std::chrono::microseconds restart{0};
};

// Writes so many changes of the given size, each synced, to the folder, which
// must not exist yet, and restarts from it. With a snapshot, it is taken after
// all but the last tenth of the changes.
StorageCost MeasureStorageCost(const std::string& folder, std::size_t changes,
                               std::size_t change_bytes, bool with_snapshot,
                               std::size_t snapshot_bytes);

}  // namespace coltsfootfork

#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/core/replication/replica_options.h"
#include "coltsfootfork/shell/storage/storage_error.h"

namespace coltsfootfork {

// A step that can fail on a full or failing disk.
enum class StorageStep : std::uint8_t {
  kWrite = 0,
  kSync,
  kSyncFolder,
  kRename
};

struct DiskLogOptions {
  // Made when it is missing; its parent must exist.
  std::string folder;
  // A new segment file begins after so many bytes.
  std::size_t segment_bytes = 4 * kBytesPerMebibyte;
  // Whether a folder whose files have other numbers than when they were made is
  // refused as a copy. Unset where the storage numbers its files anew whenever
  // it is attached; a restored folder cannot be told there.
  bool refuse_copies = true;
  // Asked before each step; an errno other than zero makes the step fail.
  std::function<int(StorageStep)> fault_injector = nullptr;
};

// A replica's data folder: hard state, log segments and the last snapshots.
//
// The folder is locked while it is open. A torn tail of the last segment, which
// was never reported as synced, is cut. Any other damage is a StorageError with
// its place, and so is a folder that was copied or restored: it may lack what
// the replica has promised.
class DiskLog {
 public:
  static boost::leaf::result<std::unique_ptr<DiskLog>> Open(
      DiskLogOptions options);
  ~DiskLog();
  DiskLog(const DiskLog&) = delete;
  DiskLog& operator=(const DiskLog&) = delete;

  // What the folder held when it was opened. Call it once.
  RecoveredState TakeRecovered();

  // Writes and syncs; blocks until then. After an error every later write
  // fails too, since nobody knows what a failed sync has left on the disk.
  boost::leaf::result<void> Write(const Persist& persist);

  // The size of all files of the folder.
  std::uint64_t BytesOnDisk() const;

 private:
  class Impl;
  explicit DiskLog(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace coltsfootfork

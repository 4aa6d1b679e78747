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

// An operation that can fail on a full or failing disk.
enum class StorageStep : std::uint8_t {
  kWrite = 0,
  kSync,
  kSyncFolder,
  kRename
};

struct DiskLogOptions {
  // Created if missing; its parent must exist.
  std::string folder;
  // Size from which a new segment file is started.
  std::size_t segment_bytes = 4 * kBytesPerMebibyte;
  // Refuses a folder as a copy if its identity file has a different inode
  // number than at its creation. Set to false for storage that assigns new
  // inode numbers whenever it is attached; a restored folder cannot be detected
  // there.
  bool refuse_copies = true;
  // For tests: called before each step; a nonzero errno makes the step fail.
  std::function<int(StorageStep)> fault_injector = nullptr;
};

// A replica's data folder: hard state, log segments and the last snapshots.
//
// The folder is locked while it is open. A torn tail of the last segment, which
// was never reported as synced, is truncated. Any other corruption is a
// StorageError with its place. So is a copied or restored folder, since it may
// lack votes and entries that the replica has acknowledged.
class DiskLog {
 public:
  static boost::leaf::result<std::unique_ptr<DiskLog>> Open(
      DiskLogOptions options);
  ~DiskLog();
  DiskLog(const DiskLog&) = delete;
  DiskLog& operator=(const DiskLog&) = delete;

  // Returns the state recovered when the folder was opened. Call once.
  RecoveredState TakeRecovered();

  // Writes and blocks until the data is synced. After an error every later
  // write fails too, since the state on the disk after a failed sync is
  // unknown.
  boost::leaf::result<void> Write(const Persist& persist);

  // Total size of the files in the folder.
  std::uint64_t BytesOnDisk() const;

 private:
  class Impl;
  explicit DiskLog(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace coltsfootfork

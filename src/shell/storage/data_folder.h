#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "coltsfootfork/core/replication/log_entry.h"
#include "shell/storage/file_writer.h"

namespace coltsfootfork {

// The locked data folder. Its identity file detects copies, and its segments
// and snapshots are numbered files.
class DataFolder {
 public:
  // Creates the folder if missing, locks it, and creates an identity if the
  // folder has neither an identity nor a log.
  static boost::leaf::result<DataFolder> Open(
      const std::string& path, const StorageFaultInjector& fault_injector,
      bool refuse_copies);

  const std::string& path() const { return path_; }
  Incarnation incarnation() const { return incarnation_; }

  // Returns the paths of the files "PREFIX-NUMBER" by number.
  std::map<std::uint64_t, std::string> NumberedFiles(
      const std::string& prefix) const;
  static std::string FileName(const std::string& prefix, std::uint64_t number);
  std::uint64_t TotalBytes() const;

 private:
  DataFolder(std::string path, FileWriter lock)
      : path_(std::move(path)), lock_(std::move(lock)) {}

  boost::leaf::result<void> LoadIdentity(bool refuse_copies);
  boost::leaf::result<void> CreateIdentity(
      const StorageFaultInjector& fault_injector);

  std::string path_;
  FileWriter lock_;
  Incarnation incarnation_ = 0;
};

inline constexpr char kSegmentPrefix[] = "segment";
inline constexpr char kSnapshotPrefix[] = "snapshot";

}  // namespace coltsfootfork

#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "coltsfootfork/shell/storage/disk_log.h"

namespace coltsfootfork {

using StorageFaultInjector = std::function<int(StorageStep)>;

// A file opened for appending; closed by the destructor.
class FileWriter {
 public:
  FileWriter(std::string path, int descriptor,
             StorageFaultInjector fault_injector);
  ~FileWriter();
  FileWriter(FileWriter&& other) noexcept;
  FileWriter& operator=(FileWriter&& other) noexcept;
  FileWriter(const FileWriter&) = delete;
  FileWriter& operator=(const FileWriter&) = delete;

  // Opens the file for appending, and creates it if missing.
  static boost::leaf::result<FileWriter> Open(
      const std::string& path, StorageFaultInjector fault_injector);

  boost::leaf::result<void> Write(std::string_view bytes);
  boost::leaf::result<void> Sync();
  boost::leaf::result<void> Truncate(std::uint64_t size);

 private:
  std::string path_;
  int descriptor_ = -1;
  StorageFaultInjector fault_injector_;
};

// Returns a StorageError with the text of the errno value `error`.
boost::leaf::error_id SystemError(const std::string& place,
                                  const std::string& action, int error);

boost::leaf::result<std::string> ReadWholeFile(const std::string& path);

// Syncs the folder, which makes created and renamed files durable.
boost::leaf::result<void> SyncFolder(
    const std::string& folder, const StorageFaultInjector& fault_injector);

// Replaces the file atomically: after a crash it has either the old or the new
// content.
boost::leaf::result<void> ReplaceFile(
    const std::string& folder, const std::string& name, std::string_view bytes,
    const StorageFaultInjector& fault_injector);

}  // namespace coltsfootfork

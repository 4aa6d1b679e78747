#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "shell/storage/file_writer.h"

namespace coltsfootfork {

// The departures of backend servers that a control process knows, in a file of
// its data folder: an acknowledged departure must outlive a restart of all
// control processes, after which a delayed heartbeat would restore the server.
//
// Departures are appended to the file. Once it has grown, it is replaced by one
// that holds the departures still in the directory, so its size is bounded by
// theirs.
class DepartureLog {
 public:
  // Reads the file if there is one. `folder` must exist when the first records
  // are written.
  DepartureLog(std::string folder, StorageFaultInjector fault_injector);

  // Returns the departures read from the file. Call once.
  std::vector<ServerRecord> TakeRecovered();

  // Returns true if this departure, or a later state of the server, is synced.
  bool Contains(const ServerRecord& record) const;

  // Writes the departures, blocks until they are synced, and returns true.
  // After an error, which is logged, it returns false, and the next call
  // replaces the file. `directory` includes the departures.
  bool Append(const std::vector<ServerRecord>& departures,
              const ServerDirectory& directory, Time now);

  std::uint64_t bytes() const { return bytes_; }

 private:
  boost::leaf::result<void> Write(const std::vector<ServerRecord>& departures,
                                  const ServerDirectory& directory, Time now);
  boost::leaf::result<void> Replace(
      const std::vector<ServerRecord>& departures);
  void Read();
  void MarkSynced(const std::vector<ServerRecord>& departures);

  std::string folder_;
  StorageFaultInjector fault_injector_;
  std::vector<ServerRecord> recovered_;
  // Open while the file can be appended to.
  std::optional<FileWriter> file_;
  std::uint64_t bytes_ = 0;
  std::uint64_t replace_at_bytes_ = 0;
  // Incarnation and state of the synced departures.
  std::map<ServerId, std::pair<std::uint64_t, ServerState>> synced_;
};

}  // namespace coltsfootfork

#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"
#include "shell/storage/data_folder.h"

namespace coltsfootfork {

// The properties of a segment file that the log uses.
struct SegmentInfo {
  std::string path;
  // The highest index of an entry in the file; zero for none.
  LogIndex last_index = 0;
  std::uint64_t bytes = 0;
};

// The state read from a folder.
struct FolderContent {
  RecoveredState state;
  std::map<std::uint64_t, SegmentInfo> segments;
  // Bytes of the last segment after its last valid frame.
  std::uint64_t torn_bytes = 0;
  // The snapshot came from a leader and replaces the log, but the reset record
  // was not written before a crash.
  bool needs_reset = false;
};

// Reads the last snapshot and all segments without changing any file.
boost::leaf::result<FolderContent> ReadFolder(const DataFolder& folder);

}  // namespace coltsfootfork

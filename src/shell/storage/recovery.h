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

// A segment file, as far as the log needs to know.
struct SegmentInfo {
  std::string path;
  // The highest index of an entry in it; zero: it holds none.
  LogIndex last_index = 0;
  std::uint64_t bytes = 0;
};

// What a folder holds.
struct FolderContent {
  RecoveredState state;
  std::map<std::uint64_t, SegmentInfo> segments;
  // Bytes of the last segment beyond its last whole frame.
  std::uint64_t torn_bytes = 0;
  // The snapshot came from a leader and replaces the log, but the record that
  // says so was not written before a crash.
  bool needs_reset = false;
};

// Reads the last snapshot and all segments. Changes nothing on the disk.
boost::leaf::result<FolderContent> ReadFolder(const DataFolder& folder);

}  // namespace coltsfootfork

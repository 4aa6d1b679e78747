#pragma once

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/codec_error.h"
#include "coltsfootfork/core/replication/log_entry.h"

namespace coltsfootfork {

// One record of a log segment: all that one Persist wrote to it, but for a
// snapshot, which has a file of its own.
struct LogRecord {
  std::optional<HardState> hard_state;
  // The log before this record is void, and goes on after this index.
  std::optional<LogIndex> reset_to;
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
};

std::string EncodeLogRecord(const LogRecord& record);
boost::leaf::result<LogRecord> DecodeLogRecord(std::string_view bytes);

std::string EncodeSnapshot(const Snapshot& snapshot);
boost::leaf::result<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace coltsfootfork

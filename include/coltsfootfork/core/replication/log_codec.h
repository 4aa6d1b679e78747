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

// One record of a log segment: everything that one Persist writes, except the
// snapshot, which is stored in its own file.
struct LogRecord {
  std::optional<HardState> hard_state;
  // Discards all earlier records of the log; the next entry follows this index.
  std::optional<LogIndex> reset_to;
  // Discards the entries from this index on.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
};

std::string EncodeLogRecord(const LogRecord& record);
boost::leaf::result<LogRecord> DecodeLogRecord(std::string_view bytes);

std::string EncodeSnapshot(const Snapshot& snapshot);
boost::leaf::result<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace coltsfootfork

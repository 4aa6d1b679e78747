#include "shell/storage/recovery.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "coltsfootfork/core/replication/log_codec.h"
#include "shell/storage/frame.h"

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;

leaf::error_id CorruptionError(const std::string& path, std::size_t offset,
                               const std::string& problem) {
  return leaf::new_error(
      StorageError{path + ":" + std::to_string(offset), problem});
}

// Applies log records in sequence to the recovered state.
class LogReplay {
 public:
  // `covered` is the index of the snapshot, 0 without one.
  LogReplay(RecoveredState& state, LogIndex covered)
      : state_(state), covered_(covered) {}

  leaf::result<void> Apply(LogRecord record, const std::string& path,
                           std::size_t offset) {
    if (record.hard_state) state_.hard_state = *record.hard_state;
    if (record.reset_to) {
      state_.entries.clear();
      base_ = *record.reset_to;
    }
    if (record.truncate_from) Truncate(*record.truncate_from);
    for (LogEntry& entry : record.entries) {
      // The segments with the entries before the first one have been deleted.
      if (state_.entries.empty() && base_ == 0) base_ = entry.index - 1;
      SkipCoveredGap(entry.index);
      if (entry.index != base_ + state_.entries.size() + 1) {
        return CorruptionError(path, offset,
                               "an entry is missing before this record");
      }
      state_.entries.push_back(std::move(entry));
    }
    return {};
  }

 private:
  void Truncate(LogIndex from) {
    while (!state_.entries.empty() && state_.entries.back().index >= from) {
      state_.entries.pop_back();
    }
    if (state_.entries.empty()) base_ = from - 1;
  }

  // Earlier versions removed several segments without a sync of the folder; a
  // power loss could bring back some of them without the ones after them.
  void SkipCoveredGap(LogIndex next) {
    const bool has_gap = next > base_ + state_.entries.size() + 1;
    if (!has_gap || next > covered_ + 1) return;
    state_.entries.clear();
    base_ = next - 1;
  }

  RecoveredState& state_;
  LogIndex covered_;
  // The index before the first entry of state_.entries.
  LogIndex base_ = 0;
};

leaf::result<void> ReadSegment(const std::string& path, bool is_last,
                               LogReplay& log_replay, SegmentInfo& info,
                               FolderContent& content) {
  BOOST_LEAF_AUTO(file, ReadWholeFile(path));
  info.path = path;
  std::size_t offset = 0;
  while (offset < file.size()) {
    const auto frame = ReadFrame(file, offset);
    if (const auto* invalid = std::get_if<InvalidFrame>(&frame)) {
      if (!is_last || invalid->valid_frame_follows) {
        return CorruptionError(path, offset,
                               "damaged record before the end of the log");
      }
      content.torn_bytes = file.size() - offset;
      break;
    }
    const ValidFrame& valid = std::get<ValidFrame>(frame);
    auto decoded = DecodeLogRecord(valid.payload);
    if (!decoded) {
      return CorruptionError(path, offset, "record cannot be decoded");
    }
    LogRecord& record = decoded.value();
    for (const LogEntry& entry : record.entries) {
      info.last_index = std::max(info.last_index, entry.index);
    }
    BOOST_LEAF_CHECK(log_replay.Apply(std::move(record), path, offset));
    offset = valid.next;
  }
  info.bytes = offset;
  return {};
}

leaf::result<void> ReadLastSnapshot(const DataFolder& folder,
                                    RecoveredState& state) {
  const auto files = folder.NumberedFiles(kSnapshotPrefix);
  if (files.empty()) return {};
  const std::string& path = files.rbegin()->second;
  BOOST_LEAF_AUTO(file, ReadWholeFile(path));
  if (file.empty()) return CorruptionError(path, 0, "empty snapshot");
  const auto frame = ReadFrame(file, 0);
  const auto* valid = std::get_if<ValidFrame>(&frame);
  if (valid == nullptr) return CorruptionError(path, 0, "damaged snapshot");
  auto snapshot = DecodeSnapshot(valid->payload);
  if (!snapshot) return CorruptionError(path, 0, "snapshot cannot be decoded");
  state.snapshot = std::move(snapshot.value());
  return {};
}

// Returns true if the log starts right after the snapshot, or contains the
// snapshot's last entry.
bool LogExtendsSnapshot(const Snapshot& snapshot,
                        const std::vector<LogEntry>& log) {
  const LogIndex first = log.front().index;
  if (first == snapshot.index + 1) return true;
  if (first > snapshot.index || log.back().index < snapshot.index) return false;
  return log[snapshot.index - first].term == snapshot.term;
}

leaf::result<void> ReconcileSnapshotAndLog(const DataFolder& folder,
                                           FolderContent& content) {
  RecoveredState& state = content.state;
  if (state.entries.empty()) return {};
  const LogIndex covered = state.snapshot ? state.snapshot->index : 0;
  if (state.entries.front().index > covered + 1) {
    return leaf::new_error(StorageError{
        folder.path(), "entries are missing between the snapshot and the log"});
  }
  if (!state.snapshot || LogExtendsSnapshot(*state.snapshot, state.entries)) {
    return {};
  }
  state.entries.clear();
  content.needs_reset = true;
  return {};
}

}  // namespace

leaf::result<FolderContent> ReadFolder(const DataFolder& folder) {
  FolderContent content;
  content.state.incarnation = folder.incarnation();
  BOOST_LEAF_CHECK(ReadLastSnapshot(folder, content.state));
  const auto files = folder.NumberedFiles(kSegmentPrefix);
  const auto& snapshot = content.state.snapshot;
  LogReplay log_replay(content.state, snapshot ? snapshot->index : 0);
  for (const auto& [number, path] : files) {
    const bool is_last = number == files.rbegin()->first;
    BOOST_LEAF_CHECK(ReadSegment(path, is_last, log_replay,
                                 content.segments[number], content));
  }
  BOOST_LEAF_CHECK(ReconcileSnapshotAndLog(folder, content));
  return content;
}

}  // namespace coltsfootfork

#include "coltsfootfork/shell/storage/disk_log.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <optional>
#include <utility>

#include "coltsfootfork/core/replication/log_codec.h"
#include "shell/storage/data_folder.h"
#include "shell/storage/file_writer.h"
#include "shell/storage/frame.h"
#include "shell/storage/recovery.h"

namespace coltsfootfork {

namespace leaf = boost::leaf;

class DiskLog::Impl {
 public:
  Impl(DiskLogOptions options, DataFolder folder, FolderContent content)
      : options_(std::move(options)),
        folder_(std::move(folder)),
        recovered_(std::move(content.state)),
        hard_state_(recovered_.hard_state),
        segments_(std::move(content.segments)) {
    if (recovered_.snapshot) snapshot_index_ = recovered_.snapshot->index;
  }

  // Completes a write that a crash interrupted: truncates the torn tail, and
  // writes the missing reset record.
  leaf::result<void> FinishRecovery(std::uint64_t torn_bytes, bool needs_reset);
  leaf::result<void> Write(const Persist& persist);

  RecoveredState TakeRecovered() { return std::move(recovered_); }
  std::uint64_t BytesOnDisk() const { return folder_.TotalBytes(); }

 private:
  leaf::result<void> WriteAll(const Persist& persist);
  leaf::result<void> WriteSnapshot(const Snapshot& snapshot);
  leaf::result<void> WriteRecord(LogRecord record);
  leaf::result<void> OpenNewSegment();
  leaf::result<void> DeleteObsoleteFiles();

  DiskLogOptions options_;
  DataFolder folder_;
  RecoveredState recovered_;
  HardState hard_state_;
  std::map<std::uint64_t, SegmentInfo> segments_;
  std::optional<FileWriter> current_;
  LogIndex snapshot_index_ = 0;
  bool failed_ = false;
};

leaf::result<void> DiskLog::Impl::FinishRecovery(std::uint64_t torn_bytes,
                                                 bool needs_reset) {
  if (segments_.empty()) return {};
  const SegmentInfo& last = segments_.rbegin()->second;
  BOOST_LEAF_AUTO(file, FileWriter::Open(last.path, options_.fault_injector));
  current_ = std::move(file);
  if (torn_bytes != 0) BOOST_LEAF_CHECK(current_->Truncate(last.bytes));
  // A crash may have happened before the folder was synced.
  BOOST_LEAF_CHECK(SyncFolder(folder_.path(), options_.fault_injector));
  if (!needs_reset) return {};
  LogRecord record;
  record.hard_state = hard_state_;
  record.reset_to = snapshot_index_;
  return WriteRecord(std::move(record));
}

leaf::result<void> DiskLog::Impl::Write(const Persist& persist) {
  if (failed_) {
    return leaf::new_error(
        StorageError{folder_.path(), "an earlier write failed"});
  }
  failed_ = true;
  BOOST_LEAF_CHECK(WriteAll(persist));
  failed_ = false;
  return {};
}

leaf::result<void> DiskLog::Impl::WriteAll(const Persist& persist) {
  LogRecord record;
  record.hard_state = persist.hard_state;
  record.truncate_from = persist.truncate_from;
  record.entries = persist.append;
  if (persist.snapshot) {
    BOOST_LEAF_CHECK(WriteSnapshot(*persist.snapshot));
    if (persist.snapshot_resets_log) record.reset_to = persist.snapshot->index;
  }
  const bool has_record = record.hard_state || record.reset_to ||
                          record.truncate_from || !record.entries.empty();
  if (has_record) BOOST_LEAF_CHECK(WriteRecord(std::move(record)));
  if (persist.snapshot) return DeleteObsoleteFiles();
  return {};
}

leaf::result<void> DiskLog::Impl::WriteSnapshot(const Snapshot& snapshot) {
  const std::string name =
      DataFolder::FileName(kSnapshotPrefix, snapshot.index);
  BOOST_LEAF_CHECK(ReplaceFile(folder_.path(), name,
                               EncodeFrame(EncodeSnapshot(snapshot)),
                               options_.fault_injector));
  snapshot_index_ = snapshot.index;
  return {};
}

leaf::result<void> DiskLog::Impl::WriteRecord(LogRecord record) {
  if (record.hard_state) hard_state_ = *record.hard_state;
  const bool is_full = segments_.empty() || segments_.rbegin()->second.bytes >=
                                                options_.segment_bytes;
  if (is_full) BOOST_LEAF_CHECK(OpenNewSegment());
  // Each segment begins with the hard state, so that older ones can be deleted.
  const bool is_first_record = segments_.rbegin()->second.bytes == 0;
  if (is_first_record) record.hard_state = hard_state_;
  const std::string frame = EncodeFrame(EncodeLogRecord(record));
  BOOST_LEAF_CHECK(current_->Write(frame));
  BOOST_LEAF_CHECK(current_->Sync());
  if (is_first_record) {
    BOOST_LEAF_CHECK(SyncFolder(folder_.path(), options_.fault_injector));
  }
  SegmentInfo& segment = segments_.rbegin()->second;
  segment.bytes += frame.size();
  if (!record.entries.empty()) {
    segment.last_index =
        std::max(segment.last_index, record.entries.back().index);
  }
  return {};
}

leaf::result<void> DiskLog::Impl::OpenNewSegment() {
  const std::uint64_t number =
      segments_.empty() ? 1 : segments_.rbegin()->first + 1;
  const std::string path =
      folder_.path() + "/" + DataFolder::FileName(kSegmentPrefix, number);
  BOOST_LEAF_AUTO(file, FileWriter::Open(path, options_.fault_injector));
  current_ = std::move(file);
  segments_[number] = {path, 0, 0};
  return {};
}

leaf::result<void> DiskLog::Impl::DeleteObsoleteFiles() {
  // A snapshot that remains is harmless, so errors are ignored.
  for (const auto& [index, path] : folder_.NumberedFiles(kSnapshotPrefix)) {
    if (index < snapshot_index_) ::unlink(path.c_str());
  }
  // A power loss can bring back any of the files whose removal is not synced.
  // With at most one of them, the oldest, the log never gets a gap.
  while (segments_.size() > 1 &&
         segments_.begin()->second.last_index <= snapshot_index_) {
    const std::string& path = segments_.begin()->second.path;
    // The next snapshot tries again.
    if (::unlink(path.c_str()) != 0 && errno != ENOENT) break;
    segments_.erase(segments_.begin());
    BOOST_LEAF_CHECK(SyncFolder(folder_.path(), options_.fault_injector));
  }
  return {};
}

DiskLog::DiskLog(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
DiskLog::~DiskLog() = default;

leaf::result<std::unique_ptr<DiskLog>> DiskLog::Open(DiskLogOptions options) {
  BOOST_LEAF_AUTO(folder,
                  DataFolder::Open(options.folder, options.fault_injector,
                                   options.refuse_copies));
  BOOST_LEAF_AUTO(content, ReadFolder(folder));
  const std::uint64_t torn_bytes = content.torn_bytes;
  const bool needs_reset = content.needs_reset;
  auto impl = std::make_unique<Impl>(std::move(options), std::move(folder),
                                     std::move(content));
  BOOST_LEAF_CHECK(impl->FinishRecovery(torn_bytes, needs_reset));
  return std::unique_ptr<DiskLog>(new DiskLog(std::move(impl)));
}

RecoveredState DiskLog::TakeRecovered() { return impl_->TakeRecovered(); }

leaf::result<void> DiskLog::Write(const Persist& persist) {
  return impl_->Write(persist);
}

std::uint64_t DiskLog::BytesOnDisk() const { return impl_->BytesOnDisk(); }

}  // namespace coltsfootfork

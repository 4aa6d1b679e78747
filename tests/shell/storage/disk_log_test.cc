#include "coltsfootfork/shell/storage/disk_log.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

// A temporary folder that is removed at the end of a test.
class ScratchFolder {
 public:
  ScratchFolder() {
    std::string pattern = (fs::temp_directory_path() / "disk-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~ScratchFolder() { fs::remove_all(path_); }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  std::string data() const { return path_ + "/data"; }
  // Returns the paths of the data folder's files whose names begin with the
  // prefix.
  std::vector<std::string> Files(const std::string& prefix) const {
    std::vector<std::string> files;
    for (const auto& entry : fs::directory_iterator(data())) {
      const std::string name = entry.path().filename().string();
      if (name.rfind(prefix, 0) == 0) files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
  }

 private:
  std::string path_;
};

// An open log, or the error text.
struct Opened {
  std::unique_ptr<DiskLog> log;
  std::string error;
};

std::string ToText(const StorageError& error) {
  return error.place + " " + error.problem;
}

Opened Open(const DiskLogOptions& options) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Opened> {
        BOOST_LEAF_AUTO(log, DiskLog::Open(options));
        return Opened{std::move(log), ""};
      },
      [](const StorageError& error) {
        return Opened{nullptr, ToText(error)};
      },
      []() {
        return Opened{nullptr, "unknown error"};
      });
}

// Returns the error text, or an empty string once the write is synced.
std::string Write(DiskLog& log, const Persist& persist) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(log.Write(persist));
        return std::string();
      },
      [](const StorageError& error) { return ToText(error); },
      []() { return std::string("unknown error"); });
}

Persist Entries(LogIndex from, LogIndex to, Term term = 1) {
  Persist persist;
  for (LogIndex index = from; index <= to; ++index) {
    persist.append.push_back({index,
                              term,
                              EntryKind::kCommand,
                              "command " + std::to_string(index),
                              {}});
  }
  return persist;
}

Persist SnapshotAt(LogIndex index, Term term = 1) {
  Persist persist;
  persist.snapshot = Snapshot{index, term, {}, std::string(100, 's')};
  return persist;
}

void AppendTo(const std::string& file, const std::string& bytes) {
  std::ofstream(file, std::ios::app | std::ios::binary) << bytes;
}

void FlipByte(const std::string& file, std::streamoff offset) {
  std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
  stream.seekg(offset);
  const char byte = static_cast<char>(stream.get() ^ 0x40);
  stream.seekp(offset);
  stream.put(byte);
}

BOOST_AUTO_TEST_CASE(WrittenStateIsRecoveredAfterARestart) {
  const ScratchFolder scratch;
  Incarnation incarnation = 0;
  {
    const Opened opened = Open({scratch.data()});
    BOOST_REQUIRE_EQUAL(opened.error, "");
    incarnation = opened.log->TakeRecovered().incarnation;
    Persist first = Entries(1, 5);
    first.hard_state = HardState{9, 1, ReplicaId{ProcessId("a"), 3}};
    BOOST_TEST(Write(*opened.log, first) == "");
    Persist second = Entries(4, 4, 2);
    second.truncate_from = 4;
    BOOST_TEST(Write(*opened.log, second) == "");
  }
  const Opened opened = Open({scratch.data()});
  const RecoveredState state = opened.log->TakeRecovered();
  BOOST_TEST(incarnation != 0U);
  BOOST_TEST(state.incarnation == incarnation);
  BOOST_TEST(state.hard_state.group == 9U);
  BOOST_TEST(state.hard_state.vote->incarnation == 3U);
  BOOST_REQUIRE_EQUAL(state.entries.size(), 4U);
  BOOST_TEST(state.entries[2].command == "command 3");
  BOOST_TEST(state.entries[3].term == 2U);
}

BOOST_AUTO_TEST_CASE(ALockedFolderIsRefused) {
  const ScratchFolder scratch;
  const Opened first = Open({scratch.data()});
  const Opened second = Open({scratch.data()});
  BOOST_TEST(second.error.find("another process") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ATornTailOfAnyLengthIsTruncated) {
  const ScratchFolder scratch;
  Write(*Open({scratch.data()}).log, Entries(1, 2));
  const std::string segment = scratch.Files("segment").at(0);
  const auto whole = fs::file_size(segment);
  Write(*Open({scratch.data()}).log, Entries(3, 3));
  const auto longer = fs::file_size(segment);
  for (auto size = longer - 1; size > whole; --size) {
    fs::resize_file(segment, size);
    const Opened opened = Open({scratch.data()});
    BOOST_REQUIRE_EQUAL(opened.error, "");
    BOOST_TEST(opened.log->TakeRecovered().entries.size() == 2U);
    BOOST_TEST(fs::file_size(segment) == whole);
    BOOST_TEST(Write(*opened.log, Entries(3, 3)) == "");
  }
}

BOOST_AUTO_TEST_CASE(ATailOfZerosIsTruncated) {
  const ScratchFolder scratch;
  Write(*Open({scratch.data()}).log, Entries(1, 2));
  AppendTo(scratch.Files("segment").at(0), std::string(5000, '\0'));
  BOOST_TEST(Open({scratch.data()}).log->TakeRecovered().entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(CorruptionBeforeTheEndIsReportedWithItsOffset) {
  const ScratchFolder scratch;
  {
    const Opened opened = Open({scratch.data()});
    for (LogIndex i = 1; i <= 5; ++i) Write(*opened.log, Entries(i, i));
  }
  const std::string segment = scratch.Files("segment").at(0);
  const auto size = static_cast<std::streamoff>(fs::file_size(segment));
  // Covers headers, lengths and payloads of all records but the last.
  for (std::streamoff offset = 0; offset < size * 3 / 4; ++offset) {
    FlipByte(segment, offset);
    const Opened opened = Open({scratch.data()});
    BOOST_REQUIRE(opened.log == nullptr);
    BOOST_TEST(opened.error.find(segment + ":") == 0U);
    FlipByte(segment, offset);
  }
  BOOST_TEST(Open({scratch.data()}).error == "");
}

BOOST_AUTO_TEST_CASE(ACorruptedSnapshotIsRefused) {
  const ScratchFolder scratch;
  {
    const Opened opened = Open({scratch.data()});
    Write(*opened.log, Entries(1, 5));
    Write(*opened.log, SnapshotAt(4));
  }
  FlipByte(scratch.Files("snapshot").at(0), 60);
  BOOST_TEST(Open({scratch.data()}).error.find("damaged snapshot") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(SnapshotsBoundTheDiskUsage) {
  const ScratchFolder scratch;
  DiskLogOptions options{scratch.data()};
  options.segment_bytes = 1000;
  std::uint64_t max_bytes = 0;
  {
    const Opened opened = Open(options);
    Persist group;
    group.hard_state.emplace();
    group.hard_state->group = 9;
    Write(*opened.log, group);
    for (LogIndex i = 1; i <= 400; ++i) {
      Write(*opened.log, Entries(i, i));
      if (i % 50 == 0) Write(*opened.log, SnapshotAt(i));
      max_bytes = std::max(max_bytes, opened.log->BytesOnDisk());
    }
  }
  // Limit for 50 entries of 70 bytes, two further segments and two snapshots.
  BOOST_TEST(max_bytes < 8000U);
  const RecoveredState state = Open(options).log->TakeRecovered();
  BOOST_TEST(state.hard_state.group == 9U);
  BOOST_TEST(state.snapshot->index == 400U);
}

// Guards against a log with a gap after a power loss, which can bring back any
// of the files that were removed since the last sync of the folder.
BOOST_AUTO_TEST_CASE(EachRemovalOfASegmentIsSyncedBeforeTheNext) {
  const ScratchFolder scratch;
  std::vector<std::vector<std::string>> segments_at_sync;
  DiskLogOptions options{scratch.data()};
  options.segment_bytes = 1;
  options.fault_injector = [&](StorageStep step) {
    if (step == StorageStep::kSyncFolder) {
      segments_at_sync.push_back(scratch.Files("segment"));
    }
    return 0;
  };
  const Opened opened = Open(options);
  for (LogIndex i = 1; i <= 5; ++i) Write(*opened.log, Entries(i, i));
  segments_at_sync = {scratch.Files("segment")};
  BOOST_TEST(Write(*opened.log, SnapshotAt(4)) == "");
  segments_at_sync.push_back(scratch.Files("segment"));

  BOOST_TEST(segments_at_sync.front().size() == 5U);
  BOOST_TEST(segments_at_sync.back().size() == 1U);
  for (std::size_t i = 1; i < segments_at_sync.size(); ++i) {
    std::vector<std::string> without_oldest = segments_at_sync[i - 1];
    without_oldest.erase(without_oldest.begin());
    BOOST_TEST((segments_at_sync[i] == segments_at_sync[i - 1] ||
                segments_at_sync[i] == without_oldest));
  }
}

// Guards against a removal that is taken as durable although the sync of the
// folder failed.
BOOST_AUTO_TEST_CASE(AFailedSyncOfARemovalIsReported) {
  const ScratchFolder scratch;
  bool failing = false;
  DiskLogOptions options{scratch.data()};
  options.segment_bytes = 1;
  options.fault_injector = [&](StorageStep step) {
    const bool removed = failing && scratch.Files("segment").size() < 3;
    return removed && step == StorageStep::kSyncFolder ? EIO : 0;
  };
  {
    const Opened opened = Open(options);
    for (LogIndex i = 1; i <= 3; ++i) Write(*opened.log, Entries(i, i));
    failing = true;
    BOOST_TEST(Write(*opened.log, SnapshotAt(2)) != "");
    failing = false;
    BOOST_TEST(Write(*opened.log, Entries(4, 4)) != "");
  }
  const RecoveredState state = Open(options).log->TakeRecovered();
  BOOST_TEST(state.snapshot->index == 2U);
  BOOST_TEST(state.entries.back().index == 3U);
}

// A folder that an earlier version wrote may have such a gap.
BOOST_AUTO_TEST_CASE(AGapIsAcceptedOnlyIfTheSnapshotCoversIt) {
  for (const LogIndex snapshot : {LogIndex{2}, LogIndex{3}, LogIndex{4}}) {
    BOOST_TEST_CONTEXT("snapshot at " << snapshot) {
      const ScratchFolder scratch;
      DiskLogOptions options{scratch.data()};
      options.segment_bytes = 1;
      {
        const Opened opened = Open(options);
        for (LogIndex i = 1; i <= 5; ++i) Write(*opened.log, Entries(i, i));
        const std::string oldest = scratch.Files("segment").front();
        const std::string copy = scratch.data() + "/copy";
        fs::copy_file(oldest, copy);
        Write(*opened.log, SnapshotAt(snapshot));
        fs::rename(copy, oldest);
        // Entries 2 and 3, or 2 to 4, are missing.
        while (scratch.Files("segment").size() > 3) {
          fs::remove(scratch.Files("segment").at(1));
        }
      }
      const Opened opened = Open(options);
      if (snapshot < 3) {
        BOOST_TEST(opened.error.find("an entry is missing") !=
                   std::string::npos);
        continue;
      }
      BOOST_REQUIRE_EQUAL(opened.error, "");
      const RecoveredState state = opened.log->TakeRecovered();
      BOOST_TEST(state.snapshot->index == snapshot);
      BOOST_TEST(state.entries.back().index == 5U);
      BOOST_TEST(Write(*opened.log, Entries(6, 6)) == "");
    }
  }
}

BOOST_AUTO_TEST_CASE(AFailedStepIsReportedAndAllLaterWritesFail) {
  for (const StorageStep step :
       {StorageStep::kWrite, StorageStep::kSync, StorageStep::kSyncFolder}) {
    const ScratchFolder scratch;
    Write(*Open({scratch.data()}).log, Entries(1, 1));
    bool failing = false;
    DiskLogOptions options{scratch.data()};
    options.segment_bytes = 1;
    options.fault_injector = [&](StorageStep one) {
      return failing && one == step ? ENOSPC : 0;
    };
    {
      const Opened opened = Open(options);
      failing = true;
      BOOST_TEST(Write(*opened.log, Entries(2, 2)).find("No space left") !=
                 std::string::npos);
      failing = false;
      BOOST_TEST(Write(*opened.log, Entries(2, 2)) != "");
    }
    const RecoveredState state = Open({scratch.data()}).log->TakeRecovered();
    BOOST_TEST(state.entries.at(0).command == "command 1");
  }
}

BOOST_AUTO_TEST_CASE(ACopiedFolderIsRefused) {
  const ScratchFolder scratch;
  Write(*Open({scratch.data()}).log, Entries(1, 1));
  const std::string copy = scratch.data() + "-copy";
  fs::copy(scratch.data(), copy);
  BOOST_TEST(Open({copy}).error.find("copied or restored") !=
             std::string::npos);
}

// Some storage assigns new inode numbers when it is attached to a restarted
// host.
BOOST_AUTO_TEST_CASE(AFolderWithNewInodeNumbersIsOpenedIfCopiesAreAllowed) {
  const ScratchFolder scratch;
  Write(*Open({scratch.data()}).log, Entries(1, 1));
  const std::string copy = scratch.data() + "-copy";
  fs::copy(scratch.data(), copy);
  DiskLogOptions options;
  options.folder = copy;
  options.refuse_copies = false;
  const auto opened = Open(options);
  BOOST_TEST(opened.error == "");
  BOOST_REQUIRE(opened.log != nullptr);
  BOOST_TEST(opened.log->TakeRecovered().entries.size() == 1);
}

BOOST_AUTO_TEST_CASE(ALogWithoutIdentityIsRefused) {
  const ScratchFolder scratch;
  Write(*Open({scratch.data()}).log, Entries(1, 1));
  fs::remove(scratch.data() + "/identity");
  BOOST_TEST(Open({scratch.data()}).error.find("missing") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnEmptiedFolderGetsANewIdentity) {
  const ScratchFolder scratch;
  const Incarnation before =
      Open({scratch.data()}).log->TakeRecovered().incarnation;
  fs::remove_all(scratch.data());
  const Incarnation after =
      Open({scratch.data()}).log->TakeRecovered().incarnation;
  BOOST_TEST(before != after);
}

// A snapshot from a leader is synced before the record that resets the log.
BOOST_AUTO_TEST_CASE(ACrashBetweenSnapshotAndResetKeepsOnlyTheSnapshot) {
  for (const LogIndex last : {LogIndex{5}, LogIndex{30}}) {
    const ScratchFolder scratch;
    const DiskLogOptions options{scratch.data()};
    {
      const Opened opened = Open(options);
      Write(*opened.log, Entries(1, last));
      Write(*opened.log, SnapshotAt(20, 4));
    }
    BOOST_TEST(Open(options).log->TakeRecovered().entries.empty());
    {
      const Opened opened = Open(options);
      BOOST_TEST(opened.log->TakeRecovered().snapshot->index == 20U);
      BOOST_TEST(Write(*opened.log, Entries(21, 22, 4)) == "");
    }
    const RecoveredState state = Open(options).log->TakeRecovered();
    BOOST_TEST(state.entries.size() == 2U);
  }
}

}  // namespace
}  // namespace coltsfootfork

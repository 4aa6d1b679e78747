#include "shell/fleet/departure_log.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <filesystem>
#include <variant>

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "shell/log/event.h"
#include "shell/storage/frame.h"

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;

constexpr char kFileName[] = "departures";
// A file below this size is not replaced. Replacing it costs two syncs more
// than appending to it.
constexpr std::uint64_t kMinReplaceBytes = 64 * kBytesPerKibibyte;

std::string EncodeDepartures(const std::vector<ServerRecord>& departures) {
  return EncodeFrame(EncodeFleetMessage(DirectoryUpdate{0, departures}));
}

// Returns the records of the frames up to the first invalid one.
std::vector<ServerRecord> DecodeDepartures(const std::string& file,
                                           const std::string& path) {
  std::vector<ServerRecord> departures;
  std::size_t offset = 0;
  while (offset < file.size()) {
    const auto frame = ReadFrame(file, offset);
    const auto* valid = std::get_if<ValidFrame>(&frame);
    if (valid == nullptr) {
      // A torn tail was never reported as synced.
      if (std::get<InvalidFrame>(frame).valid_frame_follows) {
        Log(LogLevel::kError, Event::kStorageFailed,
            {{"place", path + ":" + std::to_string(offset)},
             {"problem", "corrupt record; later departures are ignored"}});
      }
      break;
    }
    const auto message = DecodeFleetMessage(valid->payload);
    if (message) {
      if (const auto* update = std::get_if<DirectoryUpdate>(&*message)) {
        departures.insert(departures.end(), update->records.begin(),
                          update->records.end());
      }
    }
    offset = valid->next;
  }
  return departures;
}

void LogError(const StorageError& error) {
  Log(LogLevel::kError, Event::kStorageFailed,
      {{"place", error.place}, {"problem", error.problem}});
}

}  // namespace

DepartureLog::DepartureLog(std::string folder,
                           StorageFaultInjector fault_injector)
    : folder_(std::move(folder)), fault_injector_(std::move(fault_injector)) {
  Read();
}

void DepartureLog::Read() {
  const std::string path = folder_ + "/" + kFileName;
  if (!std::filesystem::exists(path)) return;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(file, ReadWholeFile(path));
        recovered_ = DecodeDepartures(file, path);
        return {};
      },
      LogError,
      [&] {
        LogError({path, "cannot be read"});
      });
  // The age of a removal is unknown after a restart. Peers that still have the
  // record correct it.
  for (ServerRecord& record : recovered_) {
    record.removed_for = std::chrono::milliseconds(0);
  }
}

std::vector<ServerRecord> DepartureLog::TakeRecovered() {
  return std::move(recovered_);
}

bool DepartureLog::Contains(const ServerRecord& record) const {
  const auto found = synced_.find(record.id);
  if (found == synced_.end()) return false;
  const auto& [incarnation, state] = found->second;
  return incarnation == record.incarnation ? state >= record.state
                                           : incarnation > record.incarnation;
}

bool DepartureLog::Append(const std::vector<ServerRecord>& departures,
                          const ServerDirectory& directory, Time now) {
  const auto fail = [this](const StorageError& error) {
    LogError(error);
    file_.reset();
    return false;
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(Write(departures, directory, now));
        return true;
      },
      fail,
      [&] {
        return fail({folder_, "cannot be written"});
      });
}

leaf::result<void> DepartureLog::Write(
    const std::vector<ServerRecord>& departures,
    const ServerDirectory& directory, Time now) {
  if (!file_ || bytes_ >= replace_at_bytes_) {
    return Replace(directory.Departures(now));
  }
  const std::string frame = EncodeDepartures(departures);
  BOOST_LEAF_CHECK(file_->Write(frame));
  BOOST_LEAF_CHECK(file_->Sync());
  bytes_ += frame.size();
  MarkSynced(departures);
  return {};
}

leaf::result<void> DepartureLog::Replace(
    const std::vector<ServerRecord>& departures) {
  file_.reset();
  const std::string frame = EncodeDepartures(departures);
  BOOST_LEAF_CHECK(ReplaceFile(folder_, kFileName, frame, fault_injector_));
  BOOST_LEAF_AUTO(file,
                  FileWriter::Open(folder_ + "/" + kFileName, fault_injector_));
  file_ = std::move(file);
  bytes_ = frame.size();
  replace_at_bytes_ = std::max(kMinReplaceBytes, 2 * bytes_);
  synced_.clear();
  MarkSynced(departures);
  return {};
}

void DepartureLog::MarkSynced(const std::vector<ServerRecord>& departures) {
  for (const ServerRecord& record : departures) {
    synced_[record.id] = {record.incarnation, record.state};
  }
}

}  // namespace coltsfootfork

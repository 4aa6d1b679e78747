#include "shell/replica/replica_disk.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "coltsfootfork/core/replication/replica_codec.h"
#include "shell/log/event.h"

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;

void LogStorageError(const StorageError& error) {
  Log(LogLevel::kError, Event::kStorageFailed,
      {{"place", error.place}, {"problem", error.problem}});
}

}  // namespace

std::unique_ptr<DiskLog> OpenReplicaDisk(const DiskLogOptions& options,
                                         StorageError* error) {
  const auto fail = [error](const StorageError& found) {
    LogStorageError(found);
    if (error != nullptr) *error = found;
    return std::unique_ptr<DiskLog>();
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::unique_ptr<DiskLog>> {
        return DiskLog::Open(options);
      },
      [&](const StorageError& found) { return fail(found); },
      [&] {
        return fail({options.folder, "cannot be opened"});
      });
}

bool WriteToReplicaDisk(DiskLog& disk, const Persist& persist) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(disk.Write(persist));
        return true;
      },
      [](const StorageError& error) {
        LogStorageError(error);
        return false;
      },
      [] {
        LogStorageError({"data folder", "cannot be written"});
        return false;
      });
}

std::optional<ReplicaMessage> ReadReplicaMessage(const std::string& peer,
                                                 std::string_view bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ReplicaMessage>> {
        BOOST_LEAF_AUTO(message, DecodeReplicaMessage(bytes));
        return std::optional<ReplicaMessage>(std::move(message));
      },
      [&](const CodecError& error) {
        Log(LogLevel::kWarning, Event::kReplicaFailed,
            {{"peer", peer},
             {"place", error.place},
             {"problem", error.problem}});
        return std::optional<ReplicaMessage>();
      },
      [] { return std::optional<ReplicaMessage>(); });
}

void LogReplicaEvent(const LogEvent& event) {
  const std::string term = std::to_string(event.term);
  switch (event.kind) {
    case ReplicaEventKind::kLeaderElected:
      return Log(LogLevel::kInfo, Event::kBecameLeader,
                 {{"leader", event.process.value()}, {"term", term}});
    case ReplicaEventKind::kLeaderLost:
      return Log(LogLevel::kInfo, Event::kLostLeadership, {{"term", term}});
    case ReplicaEventKind::kHalted:
      return Log(LogLevel::kError, Event::kReplicaFailed, {{"term", term}});
    default:
      return Log(LogLevel::kInfo, Event::kReplicaChanged,
                 {{"kind", std::to_string(static_cast<int>(event.kind))},
                  {"term", term},
                  {"index", std::to_string(event.index)},
                  {"replica", event.process.value()}});
  }
}

}  // namespace coltsfootfork

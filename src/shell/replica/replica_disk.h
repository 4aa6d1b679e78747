#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/shell/storage/disk_log.h"

// Functions for the data folder, messages and events of a replica, shared by
// all processes that host one.
namespace coltsfootfork {

// Returns nullptr if the folder cannot be opened; the error is logged, and
// stored in `error` unless that is null.
std::unique_ptr<DiskLog> OpenReplicaDisk(const DiskLogOptions& options,
                                         StorageError* error);

// Returns true once the write is synced, or false after logging the error.
bool WriteToReplicaDisk(DiskLog& disk, const Persist& persist);

// Decodes a message of a peer's replica. Returns nullopt if it is malformed,
// after logging the error.
std::optional<ReplicaMessage> ReadReplicaMessage(const std::string& peer,
                                                 std::string_view bytes);

void LogReplicaEvent(const LogEvent& event);

}  // namespace coltsfootfork

#pragma once

#include <memory>

#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/shell/storage/disk_log.h"

// A replica's data folder and its events, as every process that hosts one
// handles them.
namespace coltsfootfork {

// The open folder, or null; the fault is logged, and told where `error` is set.
std::unique_ptr<DiskLog> OpenReplicaDisk(const DiskLogOptions& options,
                                         StorageError* error);

// True when the write is synced; else the fault is logged.
bool WriteToReplicaDisk(DiskLog& disk, const Persist& persist);

void LogReplicaEvent(const LogEvent& event);

}  // namespace coltsfootfork

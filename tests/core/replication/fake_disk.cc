#include "core/replication/fake_disk.h"

#include <algorithm>

namespace coltsfootfork {

PersistToken FakeDisk::SyncOne() {
  const Persist persist = std::move(unsynced_.front());
  unsynced_.pop_front();
  Apply(persist);
  return persist.token;
}

void FakeDisk::Crash(std::size_t kept) {
  for (; kept > 0 && !unsynced_.empty(); --kept) SyncOne();
  unsynced_.clear();
}

void FakeDisk::Apply(const Persist& persist) {
  std::vector<LogEntry>& log = synced_.entries;
  if (persist.hard_state) synced_.hard_state = *persist.hard_state;
  if (persist.snapshot) {
    synced_.snapshot = persist.snapshot;
    const LogIndex covered = persist.snapshot->index;
    const bool all = persist.snapshot_resets_log;
    log.erase(std::remove_if(log.begin(), log.end(),
                             [&](const LogEntry& entry) {
                               return all || entry.index <= covered;
                             }),
              log.end());
  }
  if (persist.truncate_from) {
    while (!log.empty() && log.back().index >= *persist.truncate_from) {
      log.pop_back();
    }
  }
  log.insert(log.end(), persist.append.begin(), persist.append.end());
}

}  // namespace coltsfootfork

#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/log/event.h"

// The part of ControlNode that stores the departures of backend servers.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// Departures within this time are written together. Longer than the time after
// which entries are sent the same records, since the write blocks.
constexpr milliseconds kWriteBatchDelay{25};
constexpr milliseconds kWriteRetryDelay{500};

}  // namespace

void ControlNode::RecoverDepartures(Time now) {
  departure_log_.emplace(options_.data_folder,
                         replica_->MakeDiskFaultInjector());
  const std::vector<ServerRecord> records = departure_log_->TakeRecovered();
  for (const ServerRecord& record : records) directory_.Merge(record, now);
  Log(LogLevel::kInfo, Event::kDeparturesRecovered,
      {{"records", std::to_string(records.size())},
       {"servers", std::to_string(directory_.entries().size())}});
}

void ControlNode::SyncDepartures(const std::vector<ServerRecord>& records,
                                 std::function<void()> done, Time now) {
  if (!departure_log_) return;
  bool synced = true;
  for (const ServerRecord& record : records) {
    const ServerDirectory::Entry* entry = directory_.Find(record.id);
    const bool is_departure =
        entry != nullptr && entry->record.state != ServerState::kReady;
    if (!is_departure || departure_log_->Contains(entry->record)) continue;
    synced = false;
    unsynced_departures_.push_back(entry->record);
  }
  if (!synced) ScheduleDepartureWrite(now);
  if (!done) return;
  if (synced) return done();
  departure_waiters_.push_back(std::move(done));
}

void ControlNode::ScheduleDepartureWrite(Time now) {
  if (std::exchange(departure_write_scheduled_, true)) return;
  const Time write_at =
      std::max<Time>(now + kWriteBatchDelay, next_departure_write_);
  departure_timer_.expires_after(write_at - now);
  departure_timer_.async_wait(
      lifetime_.Guard([this](boost::system::error_code error) {
        departure_write_scheduled_ = false;
        if (!error) WriteDepartures(MonotonicNow());
      }));
}

void ControlNode::WriteDepartures(Time now) {
  const auto departures = std::exchange(unsynced_departures_, {});
  const auto waiters = std::exchange(departure_waiters_, {});
  const bool synced = departure_log_->Append(departures, directory_, now);
  const Time end = MonotonicNow();
  if (!synced) {
    // The next write stores the whole directory's departures.
    next_departure_write_ = end + kWriteRetryDelay;
    return ScheduleDepartureWrite(end);
  }
  // A slow disk blocks this process at most half of the time.
  next_departure_write_ = end + (end - now);
  for (const std::function<void()>& done : waiters) done();
}

}  // namespace coltsfootfork

#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/log/event.h"

// The part of ControlNode that maintains the directory of backend servers.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// Below the one second that the sender of a heartbeat waits for the response.
constexpr milliseconds kQuorumAckTimeout{850};
// Updates within this time are sent to entries in one message, since engines
// are started and removed by the dozen.
constexpr milliseconds kEntryBatchDelay{20};

}  // namespace

void ControlNode::OnHeartbeat(const ServerRecord& reported, AckCallback done) {
  const Time now = MonotonicNow();
  ++counts_.heartbeats;
  const ServerDirectory::Entry* known = directory_.Find(reported.id);
  const ServerRecord record = incarnations_.Resolve(reported, known, now);
  const bool is_new = known == nullptr ||
                      known->record.incarnation != record.incarnation ||
                      known->record.address != record.address;
  const bool changed = directory_.Merge(record, now);
  const ServerDirectory::Entry* entry = directory_.Find(record.id);
  const bool is_draining = entry != nullptr &&
                           entry->record.state != ServerState::kReady &&
                           record.state != ServerState::kReady;
  if (changed) {
    const Event ready_event =
        is_new ? Event::kServerAnnounced : Event::kServerCold;
    Log(LogLevel::kInfo,
        record.state == ServerState::kReady ? ready_event
                                            : Event::kServerDraining,
        {{"server", record.id.value()},
         {"service", record.service.value()},
         {"address", record.address},
         {"born", std::to_string(record.incarnation)},
         {"sequence", std::to_string(record.sequence)},
         {"cold_ms", std::to_string(record.warmup_remaining.count())}});
    QueueForEntries({entry->record});
  }
  // A drain that does not apply to the known incarnation must not be
  // acknowledged: the server may have restarted after its clock was set back.
  if (record.state != ServerState::kReady && !is_draining) return done(false);
  // Only a drain must be acknowledged by a majority; a ready server need not.
  if (!is_draining) {
    if (changed) BroadcastRecords({entry->record}, nullptr, now);
    return done(true);
  }
  BroadcastRecords({entry->record}, std::move(done), now);
}

void ControlNode::OnDeregister(const ServerId& id, std::uint64_t incarnation,
                               AckCallback done) {
  const Time now = MonotonicNow();
  // A record without an incarnation would not prevent a delayed heartbeat from
  // restoring the server.
  if (incarnation == 0 && directory_.Find(id) == nullptr) return done(false);
  const ServerDirectory::Entry* known = directory_.Find(id);
  const bool changed = directory_.MarkRemoved(
      id,
      IncarnationResolver::KnownIncarnation(
          incarnation, known == nullptr ? nullptr : &known->record),
      now);
  const ServerRecord record = directory_.Find(id)->record;
  if (changed) {
    Log(LogLevel::kInfo, Event::kServerDraining,
        {{"server", id.value()},
         {"service", record.service.value()},
         {"address", record.address},
         {"born", std::to_string(record.incarnation)},
         {"state", "gone"}});
    QueueForEntries({record});
  }
  if (record.state != ServerState::kRemoved) return done(true);
  BroadcastRecords({record}, std::move(done), now);
}

void ControlNode::BroadcastRecords(const std::vector<ServerRecord>& records,
                                   AckCallback done, Time now) {
  DirectoryUpdate update;
  update.records = records;
  const std::uint64_t token = done ? next_id_++ : 0;
  update.token = token;
  if (done) {
    pending_quorum_acks_[token] = {
        {}, std::move(done), now + kQuorumAckTimeout};
  }
  const EncodedMessage message(std::move(update));
  for (auto& [name, peer] : peers_) {
    if (peer.link) Send(*peer.link, message);
  }
  if (token == 0) return;
  SyncDepartures(
      records, [this, token] { OnDeparturesSynced(options_.self, token); },
      now);
}

void ControlNode::QueueForEntries(const std::vector<ServerRecord>& records) {
  const bool already_scheduled = !entry_queue_.empty();
  entry_queue_.insert(entry_queue_.end(), records.begin(), records.end());
  if (already_scheduled || entry_queue_.empty()) return;
  entry_queue_timer_.expires_after(kEntryBatchDelay);
  entry_queue_timer_.async_wait(
      lifetime_.Guard([this](boost::system::error_code error) {
        if (!error) FlushEntryQueue();
      }));
}

void ControlNode::FlushEntryQueue() {
  DirectoryUpdate update;
  update.records = std::exchange(entry_queue_, {});
  const bool any_not_ready = std::any_of(
      update.records.begin(), update.records.end(),
      [](const ServerRecord& one) { return one.state != ServerState::kReady; });
  const EncodedMessage message(std::move(update));
  for (auto& [number, incoming] : incoming_links_) {
    // Ready servers are sent by the primary only, drains and removals by both
    // control processes of an entry.
    const bool is_recipient =
        incoming.entry && (incoming.entry->is_primary || any_not_ready);
    if (is_recipient) Send(*incoming.link, message);
  }
}

void ControlNode::On(const std::string& from, const DirectoryUpdate& update,
                     Time now) {
  MergeUpdate(update, now);
  if (update.token == 0) return;
  SyncDepartures(
      update.records,
      [this, from, token = update.token] { SendTo(from, DirectoryAck{token}); },
      now);
}

std::vector<ServerRecord> ControlNode::MergeUpdate(
    const DirectoryUpdate& update, Time now) {
  std::vector<ServerRecord> changed_records;
  for (const ServerRecord& record : update.records) {
    if (!directory_.Merge(record, now)) continue;
    changed_records.push_back(directory_.Find(record.id)->record);
  }
  if (!changed_records.empty()) {
    QueueForEntries(changed_records);
    SyncDepartures(changed_records, nullptr, now);
  }
  return changed_records;
}

void ControlNode::On(const std::string& from, const DirectoryAck& ack,
                     Time /*now*/) {
  OnDeparturesSynced(from, ack.token);
}

void ControlNode::OnDeparturesSynced(const std::string& process,
                                     std::uint64_t token) {
  const auto waiting = pending_quorum_acks_.find(token);
  if (waiting == pending_quorum_acks_.end()) return;
  waiting->second.acknowledged.insert(process);
  if (!quorum_.IncludesMajority(waiting->second.acknowledged)) return;
  const AckCallback done = std::move(waiting->second.done);
  pending_quorum_acks_.erase(waiting);
  done(true);
}

void ControlNode::On(const std::string& from,
                     const DirectorySyncRequest& request, Time now) {
  SendTo(from, MissingRecords(request, now));
}

DirectorySyncRequest ControlNode::SyncRequest() const {
  return {directory_.BucketDigests(), directory_.digest().removed};
}

DirectoryUpdate ControlNode::MissingRecords(const DirectorySyncRequest& request,
                                            Time now) const {
  return {0, directory_.DifferingRecords(request.bucket_digests,
                                         request.removed_digest, now)};
}

void ControlNode::ExpirePendingAcks(Time now) {
  std::vector<AckCallback> acknowledged;
  std::vector<AckCallback> expired;
  for (auto waiting = pending_quorum_acks_.begin();
       waiting != pending_quorum_acks_.end();) {
    PendingQuorumAck& pending = waiting->second;
    // The voters may have become known or changed since the last ack.
    const bool has_majority = quorum_.IncludesMajority(pending.acknowledged);
    if (!has_majority && now < pending.deadline) {
      ++waiting;
      continue;
    }
    (has_majority ? acknowledged : expired).push_back(std::move(pending.done));
    waiting = pending_quorum_acks_.erase(waiting);
  }
  counts_.unacknowledged_drains += expired.size();
  for (const AckCallback& done : acknowledged) done(true);
  for (const AckCallback& done : expired) done(false);
}

}  // namespace coltsfootfork

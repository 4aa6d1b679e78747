#include "coltsfootfork/core/fleet/server_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

// Longer than any heartbeat can be in flight.
constexpr Duration kRemovedRetention = std::chrono::seconds(120);
// A server without a heartbeat for this long is taken to have failed. Longer
// than a server can be partitioned from the control processes and still serve.
constexpr Duration kHeartbeatTimeout = std::chrono::minutes(10);

// The contribution of a record that is not removed to the digest.
std::uint64_t HashOf(const ServerRecord& record) {
  std::string text = record.id.value();
  text += '\n';
  text += std::to_string(record.incarnation);
  text += '\n';
  text += record.address;
  text += '\n';
  text += record.service.value();
  text += static_cast<char>('0' + static_cast<int>(record.state));
  return XXH64(text.data(), text.size(), 0);
}

// The contribution of a removed record. The address and the service are left
// out, since a server that was unknown when it deregistered has none.
std::uint64_t RemovedHashOf(const ServerRecord& record) {
  const std::string text =
      record.id.value() + '\n' + std::to_string(record.incarnation);
  return XXH64(text.data(), text.size(), 0);
}

// The rest of a warmup in two heartbeats differs by their delays.
constexpr std::chrono::milliseconds kColdTolerance{300};

// Returns how much longer the server is slow.
std::chrono::milliseconds WarmupRemaining(const ServerDirectory::Entry& entry,
                                          Time now) {
  const Duration remaining =
      entry.last_heartbeat + entry.record.warmup_remaining - now;
  return std::chrono::milliseconds(
      std::max<std::int64_t>(ToMilliseconds(remaining), 0));
}

bool DiffersBeyondHeartbeat(const ServerRecord& before,
                            const ServerRecord& after) {
  return before.incarnation != after.incarnation ||
         before.state != after.state || before.address != after.address ||
         before.service != after.service;
}

}  // namespace

bool ServerDirectory::Merge(const ServerRecord& record, Time now) {
  const auto found = entries_.find(record.id);
  const Time changed_at = now - record.removed_for;
  if (found == entries_.end()) {
    // Two processes would otherwise return an expired record to each other.
    if (now >= changed_at + kRemovedRetention) return false;
    ServerRecord new_record = record;
    if (IsSuperseded(record)) new_record.state = ServerState::kRemoved;
    SupersedeAddress(new_record, now);
    Store(new_record, changed_at, now);
    return true;
  }
  const ServerRecord& known = found->second.record;
  if (record.incarnation < known.incarnation) return false;
  ServerRecord merged = record;
  if (record.incarnation == known.incarnation) {
    if (record.sequence < known.sequence) {
      // The record arrived late, but a state change to draining or removed
      // still applies.
      if (record.state <= known.state) return false;
      merged = known;
    }
    merged.state = std::max(record.state, known.state);
  } else if (IsSuperseded(record)) {
    merged.state = ServerState::kRemoved;
  }
  if (!DiffersBeyondHeartbeat(known, merged)) {
    const bool is_later = merged.sequence > known.sequence;
    const bool becomes_cold =
        is_later && merged.warmup_remaining >
                        WarmupRemaining(found->second, now) + kColdTolerance;
    found->second.record = merged;
    if (is_later) found->second.last_heartbeat = now;
    // A process that has restarted knows only when it read the record.
    if (record.state == ServerState::kRemoved &&
        changed_at < found->second.changed_at) {
      removed_.erase({found->second.changed_at, record.id});
      found->second.changed_at = changed_at;
      removed_.insert({changed_at, record.id});
    }
    return becomes_cold;
  }
  SupersedeAddress(merged, now);
  Store(merged, merged.state == record.state ? changed_at : now, now);
  return true;
}

bool ServerDirectory::MarkDraining(const ServerId& id,
                                   std::uint64_t incarnation, Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() ||
      found->second.record.incarnation != incarnation) {
    return false;
  }
  ServerRecord draining = found->second.record;
  draining.state = std::max(draining.state, ServerState::kDraining);
  return Merge(draining, now);
}

bool ServerDirectory::MarkRemoved(const ServerId& id, std::uint64_t incarnation,
                                  Time now) {
  const auto found = entries_.find(id);
  ServerRecord record;
  record.id = id;
  record.incarnation = incarnation;
  if (found != entries_.end()) {
    if (incarnation != 0 && incarnation < found->second.record.incarnation) {
      return false;
    }
    if (incarnation == 0 || incarnation == found->second.record.incarnation) {
      record = found->second.record;
    }
  }
  record.state = ServerState::kRemoved;
  if (found != entries_.end() &&
      !DiffersBeyondHeartbeat(found->second.record, record)) {
    return false;
  }
  Store(record, now, now);
  return true;
}

void ServerDirectory::Expire(Time now) {
  while (!removed_.empty() &&
         (removed_.size() > kMaxRemoved ||
          now >= removed_.begin()->first + kRemovedRetention)) {
    Forget(ServerId(removed_.begin()->second));
  }
  for (const auto& [id, entry] : entries_) {
    if (entry.record.state == ServerState::kRemoved ||
        now < entry.last_heartbeat + kHeartbeatTimeout) {
      continue;
    }
    ServerRecord removed_record = entry.record;
    removed_record.state = ServerState::kRemoved;
    Store(removed_record, now, now);
  }
}

void ServerDirectory::Forget(const ServerId& id) {
  const auto found = entries_.find(id);
  const Entry& entry = found->second;
  ToggleDigest(entry.record);
  removed_.erase({entry.changed_at, id});
  const auto at_address = ids_by_address_.find(entry.record.address);
  at_address->second.erase(id);
  if (at_address->second.empty()) ids_by_address_.erase(at_address);
  entries_.erase(found);
}

const ServerDirectory::Entry* ServerDirectory::Find(const ServerId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

ServerRecord ServerDirectory::ToRecord(const Entry& entry, Time now) {
  ServerRecord record = entry.record;
  record.warmup_remaining = WarmupRemaining(entry, now);
  record.removed_for =
      std::chrono::milliseconds(record.state == ServerState::kRemoved
                                    ? ToMilliseconds(now - entry.changed_at)
                                    : 0);
  return record;
}

template <typename Predicate>
std::vector<ServerRecord> ServerDirectory::RecordsIf(Predicate predicate,
                                                     Time now) const {
  std::vector<ServerRecord> records;
  for (const auto& [id, entry] : entries_) {
    if (predicate(entry.record)) records.push_back(ToRecord(entry, now));
  }
  return records;
}

std::vector<ServerRecord> ServerDirectory::Records(Time now) const {
  return RecordsIf([](const ServerRecord& /*record*/) { return true; }, now);
}

std::vector<ServerRecord> ServerDirectory::Departures(Time now) const {
  return RecordsIf(
      [](const ServerRecord& record) {
        return record.state != ServerState::kReady;
      },
      now);
}

std::vector<ServerRecord> ServerDirectory::ColdRecords(Time now) const {
  std::vector<ServerRecord> records;
  for (const auto& [id, entry] : entries_) {
    const bool is_cold = entry.record.state == ServerState::kReady &&
                         WarmupRemaining(entry, now).count() > 0;
    if (is_cold) records.push_back(ToRecord(entry, now));
  }
  return records;
}

std::vector<ServerRecord> ServerDirectory::RemovedRecords(Time now) const {
  return RecordsIf(
      [](const ServerRecord& record) {
        return record.state == ServerState::kRemoved;
      },
      now);
}

std::vector<ServerRecord> ServerDirectory::DifferingRecords(
    const std::vector<std::uint64_t>& bucket_digests,
    std::optional<std::uint64_t> removed_digest, Time now) const {
  if (bucket_digests.size() != kBuckets) return Records(now);
  const bool removed_differ =
      removed_digest && *removed_digest != removed_digest_;
  return RecordsIf(
      [&](const ServerRecord& record) {
        const std::size_t bucket = BucketOf(record.id);
        return bucket_digests[bucket] != bucket_digests_.at(bucket) ||
               (removed_differ && record.state == ServerState::kRemoved);
      },
      now);
}

bool ServerDirectory::Matches(const DirectoryDigest& other) const {
  return other.servers == digest_ &&
         (!other.removed || *other.removed == removed_digest_);
}

std::size_t ServerDirectory::BucketOf(const ServerId& id) {
  return XXH64(id.value().data(), id.value().size(), 0) % kBuckets;
}

void ServerDirectory::ToggleDigest(const ServerRecord& record) {
  if (record.state == ServerState::kRemoved) {
    removed_digest_ ^= RemovedHashOf(record);
    return;
  }
  const std::uint64_t hash = HashOf(record);
  digest_ ^= hash;
  bucket_digests_.at(BucketOf(record.id)) ^= hash;
}

std::vector<std::uint64_t> ServerDirectory::EarlierIncarnations(
    const Entry& entry, const ServerRecord& next) {
  std::vector<std::uint64_t> earlier = entry.earlier;
  const ServerRecord& record = entry.record;
  if (next.incarnation <= record.incarnation) return earlier;
  earlier.push_back(record.reported_incarnation != 0
                        ? record.reported_incarnation
                        : record.incarnation);
  if (earlier.size() > kMaxEarlier) earlier.erase(earlier.begin());
  return earlier;
}

void ServerDirectory::Store(const ServerRecord& record, Time changed_at,
                            Time now) {
  std::vector<std::uint64_t> earlier;
  const auto found = entries_.find(record.id);
  if (found != entries_.end()) {
    earlier = EarlierIncarnations(found->second, record);
    ToggleDigest(found->second.record);
    removed_.erase({found->second.changed_at, record.id});
    const std::string& previous_address = found->second.record.address;
    const auto at_address = ids_by_address_.find(previous_address);
    if (previous_address != record.address &&
        at_address != ids_by_address_.end()) {
      at_address->second.erase(record.id);
      if (at_address->second.empty()) ids_by_address_.erase(at_address);
    }
  }
  entries_[record.id] = {record, changed_at, now, std::move(earlier)};
  if (record.state == ServerState::kRemoved) {
    removed_.insert({changed_at, record.id});
  }
  ids_by_address_[record.address].insert(record.id);
  ToggleDigest(record);
}

bool ServerDirectory::IsSuperseded(const ServerRecord& record) const {
  const auto at_address = ids_by_address_.find(record.address);
  if (at_address == ids_by_address_.end()) return false;
  return std::any_of(at_address->second.begin(), at_address->second.end(),
                     [&](const ServerId& id) {
                       const ServerRecord& other = entries_.at(id).record;
                       return id != record.id &&
                              other.incarnation > record.incarnation &&
                              other.state != ServerState::kRemoved;
                     });
}

void ServerDirectory::SupersedeAddress(const ServerRecord& record, Time now) {
  if (record.state == ServerState::kRemoved) return;
  const auto at_address = ids_by_address_.find(record.address);
  if (at_address == ids_by_address_.end()) return;
  for (const ServerId& id : at_address->second) {
    const ServerRecord& other = entries_.at(id).record;
    const bool older = id != record.id &&
                       other.state != ServerState::kRemoved &&
                       other.incarnation < record.incarnation;
    if (!older) continue;
    ServerRecord removed_record = other;
    removed_record.state = ServerState::kRemoved;
    Store(removed_record, now, now);
  }
}

}  // namespace coltsfootfork

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Only increases within one incarnation of a server: a draining server does not
// become ready again.
enum class ServerState : std::uint8_t { kReady = 0, kDraining, kRemoved };

// One incarnation of a backend server, as reported by its heartbeats.
struct ServerRecord {
  ServerId id;
  // Start time of the incarnation in Unix milliseconds; orders incarnations.
  std::uint64_t incarnation = 0;
  // The start time that the server reports, if it differs from `incarnation`
  // since its clock was set back; zero otherwise. See IncarnationResolver.
  std::uint64_t reported_incarnation = 0;
  // Increases with each heartbeat of the incarnation.
  std::uint64_t sequence = 0;
  ServiceId service;
  // IP:PORT.
  std::string address;
  ZoneId zone;
  std::uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  // How much longer the server is slow after its start, as of the heartbeat or
  // of the sending of the record. A server may become slow again.
  std::chrono::milliseconds warmup_remaining{0};
  // How long ago the server was removed, as of the sending of the record; zero
  // unless it is removed.
  std::chrono::milliseconds removed_for{0};
};

// Equal for two directories whose records have the same ids, incarnations,
// services, addresses and states.
struct DirectoryDigest {
  std::uint64_t servers = 0;
  // Digest of the removed records; nullopt from a process of a version that
  // does not compare them.
  std::optional<std::uint64_t> removed;

  friend bool operator==(const DirectoryDigest& a, const DirectoryDigest& b) {
    return a.servers == b.servers && a.removed == b.removed;
  }
  friend bool operator!=(const DirectoryDigest& a, const DirectoryDigest& b) {
    return !(a == b);
  }
};

// The backend servers known from heartbeats. Merging the same records in any
// order gives the same directory. A removed server keeps a record for a while,
// so that a delayed heartbeat does not restore it.
class ServerDirectory {
 public:
  struct Entry {
    ServerRecord record;
    // When this process first stored the record in this state or, if the server
    // is removed, when it was removed.
    Time changed_at;
    // When a heartbeat last arrived, here or by way of a peer.
    Time last_heartbeat;
    // The start times that earlier incarnations of the server reported, as far
    // as this process knew them; the latest kMaxEarlier ones, in sequence.
    std::vector<std::uint64_t> earlier;
  };

  // Heartbeats that are still on their way are of the last few incarnations.
  static constexpr std::size_t kMaxEarlier = 8;

  // Merges a record. Returns true if the server is new, its incarnation,
  // service, address or state changed, or it is slow for longer than known;
  // false for a mere heartbeat.
  bool Merge(const ServerRecord& record, Time now);
  // Marks the incarnation as draining. Returns true if its state changed.
  bool MarkDraining(const ServerId& id, std::uint64_t incarnation, Time now);
  // Marks the incarnation as removed. Returns true if the directory changed. An
  // unknown server gets a tombstone, so that a late heartbeat does not restore
  // it. `incarnation` zero means the currently known incarnation.
  bool MarkRemoved(const ServerId& id, std::uint64_t incarnation, Time now);

  // Marks servers without recent heartbeats as removed, and deletes the records
  // of servers that were removed long ago.
  void Expire(Time now);

  const Entry* Find(const ServerId& id) const;
  const std::map<ServerId, Entry>& entries() const { return entries_; }
  std::vector<ServerRecord> Records(Time now) const;
  // Returns the records of the servers that are draining or removed.
  std::vector<ServerRecord> Departures(Time now) const;
  std::vector<ServerRecord> RemovedRecords(Time now) const;
  // Returns the records of the servers that are still slow after their start.
  // Digests do not cover that.
  std::vector<ServerRecord> ColdRecords(Time now) const;
  // Returns the records of the buckets whose digests differ from the given
  // ones, or all records if the number of digests differs from the number of
  // buckets. Returns all removed records too if their digest differs from
  // `removed_digest`.
  std::vector<ServerRecord> DifferingRecords(
      const std::vector<std::uint64_t>& bucket_digests,
      std::optional<std::uint64_t> removed_digest, Time now) const;
  // Servers that are not removed are assigned to buckets by the hash of their
  // id.
  std::vector<std::uint64_t> BucketDigests() const {
    return {bucket_digests_.begin(), bucket_digests_.end()};
  }
  DirectoryDigest digest() const { return {digest_, removed_digest_}; }
  // Returns whether the digest is of a directory with the same records.
  bool Matches(const DirectoryDigest& other) const;

 private:
  // Removed records kept; the oldest are deleted first. More than a fleet of
  // thousands of servers removes within the retention time.
  static constexpr std::size_t kMaxRemoved = 8192;
  // Few records differ between two directories. With this many buckets, most of
  // the records sent are ones that differ.
  static constexpr std::size_t kBuckets = 64;

  static std::size_t BucketOf(const ServerId& id);
  // Returns the list of earlier incarnations once `next` replaces the entry's.
  static std::vector<std::uint64_t> EarlierIncarnations(
      const Entry& entry, const ServerRecord& next);
  // `changed_at` is when the server got into the state of the record.
  void Store(const ServerRecord& record, Time changed_at, Time now);
  // Deletes a removed record.
  void Forget(const ServerId& id);
  static ServerRecord ToRecord(const Entry& entry, Time now);
  template <typename Predicate>
  std::vector<ServerRecord> RecordsIf(Predicate predicate, Time now) const;
  void ToggleDigest(const ServerRecord& record);
  // Returns true if a server of a later incarnation uses the record's address.
  bool IsSuperseded(const ServerRecord& record) const;
  // Marks servers of earlier incarnations at the record's address as removed.
  void SupersedeAddress(const ServerRecord& record, Time now);

  std::map<ServerId, Entry> entries_;
  // Servers whose records have the address, including removed ones.
  std::map<std::string, std::set<ServerId>> ids_by_address_;
  std::uint64_t digest_ = 0;
  std::uint64_t removed_digest_ = 0;
  // The removed servers by the time of their removal.
  std::set<std::pair<Time, ServerId>> removed_;
  std::array<std::uint64_t, kBuckets> bucket_digests_{};
};

}  // namespace coltsfootfork

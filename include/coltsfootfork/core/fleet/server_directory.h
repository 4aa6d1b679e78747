#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
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
  // Increases with each heartbeat of the incarnation.
  std::uint64_t sequence = 0;
  ServiceId service;
  // IP:PORT.
  std::string address;
  ZoneId zone;
  std::uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  // How much longer the server is slow after its start, as of the heartbeat.
  std::chrono::milliseconds warmup_remaining{0};
};

// The backend servers known from heartbeats. Merging the same records in any
// order gives the same directory.
class ServerDirectory {
 public:
  struct Entry {
    ServerRecord record;
    // When this process first stored the record in this state.
    Time changed_at;
    // When a heartbeat last arrived, here or by way of a peer.
    Time last_heartbeat;
  };

  // Merges a record. Returns true if the server is new or its incarnation,
  // service, address or state changed, false for a mere heartbeat.
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
  std::vector<ServerRecord> Records() const;
  // Returns the records of the buckets whose digests differ from the given
  // ones, or all records if the number of digests differs from the number of
  // buckets.
  std::vector<ServerRecord> DifferingRecords(
      const std::vector<std::uint64_t>& bucket_digests) const;
  // Records are assigned to buckets by the hash of their server id.
  std::vector<std::uint64_t> BucketDigests() const {
    return {bucket_digests_.begin(), bucket_digests_.end()};
  }
  // Equal for two directories whose servers, apart from removed ones, have the
  // same incarnations, services, addresses and states.
  std::uint64_t digest() const { return digest_; }

 private:
  // Few records differ between two directories. With this many buckets, most of
  // the records sent are ones that differ.
  static constexpr std::size_t kBuckets = 64;

  static std::size_t BucketOf(const ServerId& id);
  void Store(const ServerRecord& record, Time now);
  void ToggleDigest(const ServerRecord& record);
  // Returns true if a server of a later incarnation uses the record's address.
  bool IsSuperseded(const ServerRecord& record) const;
  // Marks servers of earlier incarnations at the record's address as removed.
  void SupersedeAddress(const ServerRecord& record, Time now);

  std::map<ServerId, Entry> entries_;
  // Servers whose records have the address, including removed ones.
  std::map<std::string, std::set<ServerId>> ids_by_address_;
  std::uint64_t digest_ = 0;
  std::array<std::uint64_t, kBuckets> bucket_digests_{};
};

}  // namespace coltsfootfork

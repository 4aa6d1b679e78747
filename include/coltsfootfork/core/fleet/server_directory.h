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

// Only rises within one incarnation of a server: what has begun to leave does
// not come back.
enum class ServerState : std::uint8_t { kReady = 0, kDraining, kRemoved };

// What one incarnation of a backend server says of itself.
struct ServerRecord {
  ServerId id;
  // Unix milliseconds of the incarnation's start; orders the incarnations.
  std::uint64_t incarnation = 0;
  // Rises with each heartbeat of the incarnation.
  std::uint64_t sequence = 0;
  ServiceId service;
  // IP:PORT.
  std::string address;
  ZoneId zone;
  std::uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  // How much longer it is slow after its start, as of the heartbeat.
  std::chrono::milliseconds warmup_remaining{0};
};

// The backend servers as their heartbeats tell, merged so that the same
// records in any order give the same directory.
class ServerDirectory {
 public:
  struct Entry {
    ServerRecord record;
    // When this process first had the record in this state.
    Time changed_at;
    // When a heartbeat was last heard, here or by a peer.
    Time last_heartbeat;
  };

  // Takes a record over. True when it says something new: an incarnation, an
  // address or a state, not just a later heartbeat.
  bool Merge(const ServerRecord& record, Time now);
  // The incarnation has begun to leave. True when that is news.
  bool MarkDraining(const ServerId& id, std::uint64_t incarnation, Time now);
  // The incarnation has left. Of an unknown server a trace is kept, so that a
  // late heartbeat does not bring it back; `incarnation` zero means any
  // that is known now.
  bool MarkRemoved(const ServerId& id, std::uint64_t incarnation, Time now);

  // Takes who was silent for long for gone, and forgets who left long ago.
  void Expire(Time now);

  const Entry* Find(const ServerId& id) const;
  const std::map<ServerId, Entry>& entries() const { return entries_; }
  std::vector<ServerRecord> Records() const;
  // Of the parts that differ from those of the digests; all where there are not
  // as many digests as parts.
  std::vector<ServerRecord> DifferingRecords(
      const std::vector<std::uint64_t>& bucket_digests) const;
  // Digests of the parts into which the records fall by their names.
  std::vector<std::uint64_t> BucketDigests() const {
    return {bucket_digests_.begin(), bucket_digests_.end()};
  }
  // Equal where two directories hold the same incarnations, addresses and
  // states of servers that have not left.
  std::uint64_t digest() const { return digest_; }

 private:
  // Few records differ between two directories: with so many parts most of
  // those that are told are.
  static constexpr std::size_t kBuckets = 64;

  static std::size_t BucketOf(const ServerId& id);
  void Store(const ServerRecord& record, Time now);
  void ToggleDigest(const ServerRecord& record);
  // A later incarnation serves at the record's address.
  bool IsSuperseded(const ServerRecord& record) const;
  // The incarnation before at the address has ended.
  void SupersedeAddress(const ServerRecord& record, Time now);

  std::map<ServerId, Entry> entries_;
  // Who has, or had, each address.
  std::map<std::string, std::set<ServerId>> by_address_;
  std::uint64_t digest_ = 0;
  std::array<std::uint64_t, kBuckets> bucket_digests_{};
};

}  // namespace coltsfootfork

#pragma once

#include <cstddef>
#include <cstdint>

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/fleet/latency_feed.h"
#include "coltsfootfork/core/fleet/performance_feed.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What an entry reports of the servers' performance.
struct PerformanceSums {
  EncodedPauseSums pauses;
  EncodedLatencySums latencies;
};
// What control publishes of it.
struct PerformanceChanges {
  EncodedPauses pauses;
  EncodedLatencies latencies;
};

// Takes what one of so many entries reports in this second. Latencies use at
// most a third of the report and leave the rest to pauses.
PerformanceSums TakeReport(PauseCollector& pauses, LatencyCollector& latencies,
                           std::uint32_t entries);

// The performance of servers as a control process knows it, and how its parts
// share the bytes of each message.
class PerformanceExchange {
 public:
  // The revisions that were sent on a link.
  struct Sent {
    std::uint64_t pauses = 0;
    std::uint64_t latencies = 0;
  };

  void OnReport(const EntryReport& report, Time now);
  void OnDigest(const ControlDigest& digest, Time now);
  // Adds what each of so many peers is to receive now.
  void AddTo(ControlDigest& digest, std::size_t peers, Time now);
  // Updates what is published to so many entries.
  void Publish(std::size_t entries, Time now);
  // Replaces the changes in the update by those after `sent`, which is moved to
  // the last one. Latencies use at most half of the servers of an update.
  void AddTo(EntryUpdate& update, Sent& sent) const;

 private:
  PerformanceTotals pauses_;
  LatencyTotals latencies_;
  Time next_for_peers_;
  // Number of the second; where messages have room for one server, latencies
  // are sent in some of the seconds only.
  std::uint64_t peer_turn_ = 0;
  std::uint64_t entry_turn_ = 0;
  // Servers in each update until the next one is published.
  std::size_t max_servers_ = 0;
};

}  // namespace coltsfootfork

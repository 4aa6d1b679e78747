#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/fleet/keyed_load.h"
#include "coltsfootfork/core/fleet/performance_feed.h"
#include "coltsfootfork/core/types/time.h"

// What decides whether streams are on time at each server: its prefill time per
// token, and the share of pauses that exceed the goals of their routes. Travels
// beside the pauses of performance_feed.h, within the same byte budget.
// docs/design/server-performance.md describes both.
namespace coltsfootfork {

struct LatencySum {
  // Calls whose prefill was measured, their prompt tokens and their time.
  std::uint64_t calls = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t milliseconds = 0;
  // Pauses on routes with a goal for them, and those longer than the goal.
  std::uint64_t pauses = 0;
  std::uint64_t late_pauses = 0;
};

// Key and the fields of each LatencySum, in sequence.
using EncodedLatencySums = std::vector<std::uint64_t>;
constexpr std::size_t kNumbersPerLatencySum = 6;
// Key, prefill time per token in units of kPrefillUnit, and the share of late
// pauses in units of kLateShareUnit plus one of each server, in sequence. Zero
// stands for unknown.
using EncodedLatencies = std::vector<std::uint64_t>;
constexpr std::size_t kNumbersPerLatency = 3;
constexpr Duration kPrefillUnit = std::chrono::microseconds(1);
constexpr double kLateShareUnit = 1e-4;

// Counts the pauses of one stream that exceed its route's goal.
class LatePauseSampler {
 public:
  // Starts the stream of another attempt, or continues one after its reading
  // was paused: the next event ends no pause.
  void Restart() { *this = LatePauseSampler(); }
  // Records a read with so many events. Returns a sum at most once in half a
  // second, except after a late pause.
  std::optional<LatencySum> OnEvents(std::size_t events, Duration goal,
                                     Time now);

 private:
  Time last_event_;
  Time last_sum_;
  LatencySum sum_;
};

// Sums up latencies until they are sent.
class LatencyCollector {
 public:
  void Add(ServerKey server, const LatencySum& sum);
  // Returns and removes the sums of up to `max_servers` servers. Later calls
  // continue after the last returned server, so that all get their turn.
  EncodedLatencySums Take(std::size_t max_servers);

 private:
  std::map<ServerKey, LatencySum> sums_;
  ServerKey next_ = 0;
};

// The latencies that all entries reported to the control processes, as sums
// that lose half of their weight every ten seconds, those of late pauses every
// twenty.
class LatencyTotals {
 public:
  // Malformed input is ignored.
  void AddFromEntry(const EncodedLatencySums& sums, Time now);
  void AddFromPeer(const EncodedLatencySums& sums, Time now);

  // Returns the sums of up to `max_servers` servers for the peers.
  EncodedLatencySums TakeForPeers(std::size_t max_servers) {
    return for_peers_.Take(max_servers);
  }

  // Updates the published values and forgets servers without new samples.
  void Publish(Time now);
  // Returns up to `max_servers` published values that changed after the
  // revision, which it moves to the last one returned.
  EncodedLatencies Changes(std::uint64_t& revision,
                           std::size_t max_servers) const;

  std::size_t servers() const { return servers_.size(); }

 private:
  struct Sums {
    double calls = 0;
    double prompt_tokens = 0;
    double milliseconds = 0;
    double pauses = 0;
    double late_pauses = 0;

    double MillisecondsPerToken() const { return milliseconds / prompt_tokens; }
    double LateShare() const { return late_pauses / pauses; }
    void Decay(double prefill_factor, double pause_factor);
    void Add(const LatencySum& sum);
  };
  struct Published {
    std::uint64_t prefill = 0;
    std::uint64_t late_share = 0;
  };
  struct Server {
    Sums sums;
    // The same with a shorter half-life, to notice slowdowns.
    Sums recent;
    Time decayed_at;
    Published published;
    std::uint64_t revision = 0;
  };
  void Add(const EncodedLatencySums& sums, Time now, bool from_entry);
  static void Decay(Server& server, Time now);
  static void DetectSlowdown(Server& server);
  static std::uint64_t PrefillToPublish(const Server& server);
  static std::uint64_t LateShareToPublish(const Server& server);

  std::map<ServerKey, Server> servers_;
  // The server that was published with each revision.
  std::map<std::uint64_t, ServerKey> by_revision_;
  std::uint64_t revision_ = 0;
  LatencyCollector for_peers_;
};

}  // namespace coltsfootfork

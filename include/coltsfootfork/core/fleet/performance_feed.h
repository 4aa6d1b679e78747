#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/fleet/keyed_load.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

// What callers get from each server: the pauses between the events of its
// streams. Entries report them to control, which adds them up and passes the
// means on to all entries. docs/design/server-performance.md describes this.
namespace coltsfootfork {

// Servers are compared among those of similar occupancy, since a full server is
// slower than an empty one.
enum class OccupancyBand : std::uint8_t { kBelowHalf = 0, kFromHalf };
constexpr std::size_t kOccupancyBands = 2;
OccupancyBand BandOf(std::uint32_t calls, std::uint32_t slots);

// A hash of an incarnation of a server, so that a restarted server starts
// without a history. Two servers whose keys collide share their history.
ServerKey PerformanceKeyOf(const ServerId& server, std::uint64_t incarnation);

struct PauseSum {
  std::uint64_t events = 0;
  std::uint64_t milliseconds = 0;
};
using PauseSums = std::array<PauseSum, kOccupancyBands>;

// Key, band, events and milliseconds of each sum, in sequence.
using EncodedPauseSums = std::vector<std::uint64_t>;
// Key and mean pause by band in units of kPauseUnit, zero for unknown, of each
// server, in sequence.
using EncodedPauses = std::vector<std::uint64_t>;
constexpr Duration kPauseUnit = std::chrono::microseconds(250);

// Returns the maximum of servers in a report of one of so many entries, which
// each sends once a second.
std::size_t MaxReportedServers(std::uint32_t entries);

// Returns the maximum of servers in a digest to so many peers, which is sent
// once a second.
std::size_t MaxServersForPeers(std::size_t peers);

// Sums up pauses until they are sent.
class PauseCollector {
 public:
  void Add(ServerKey server, OccupancyBand band, const PauseSum& sum);
  // Returns and removes the sums of up to `max_servers` servers. Later calls
  // continue after the last returned server, so that all get their turn.
  EncodedPauseSums Take(std::size_t max_servers);

 private:
  std::map<ServerKey, PauseSums> sums_;
  ServerKey next_ = 0;
};

// Measures the pauses of one stream.
class PauseSampler {
 public:
  // Starts the stream of another attempt: its first event ends no pause.
  void Restart() { *this = PauseSampler(); }
  // Records a read with so many events. Returns a sum at most once in half a
  // second, to keep the cost per event low.
  std::optional<PauseSum> OnEvents(std::size_t events, Time now);

 private:
  Time last_event_;
  Time last_sum_;
  std::uint64_t pauses_ = 0;
  Duration total_{0};
  // Of the last returned sum.
  Duration mean_{0};
};

// The pauses that all entries reported to the control processes, as sums that
// lose half of their weight every ten seconds.
class PerformanceTotals {
 public:
  // Adds what an entry reported here, which is also passed to the peers, or
  // what a peer passed on. Malformed input is ignored.
  void AddFromEntry(const EncodedPauseSums& sums, Time now);
  void AddFromPeer(const EncodedPauseSums& sums, Time now);

  // Returns the sums of up to `max_servers` servers to be sent to each peer
  // now; nothing if the last were returned less than a second ago.
  EncodedPauseSums TakeForPeers(std::size_t max_servers, Time now);

  // Updates the published means and forgets servers without new samples.
  // Returns how many servers' changes to send to each of so many entries now.
  std::size_t Publish(std::size_t entries, Time now);
  // Returns up to `max_servers` published means that changed after the
  // revision, which it moves to the last one returned.
  EncodedPauses Changes(std::uint64_t& revision, std::size_t max_servers) const;

  std::size_t servers() const { return servers_.size(); }

 private:
  struct Decayed {
    double weight = 0;
    double milliseconds = 0;

    double Mean() const { return milliseconds / weight; }
    void Add(double events, double mean) {
      weight += events;
      milliseconds += events * mean;
    }
  };
  struct Server {
    std::array<Decayed, kOccupancyBands> sums;
    // The same with a shorter half-life, to notice slowdowns.
    std::array<Decayed, kOccupancyBands> recent;
    Time decayed_at;
    std::array<std::uint64_t, kOccupancyBands> published{};
    std::uint64_t revision = 0;
  };
  void Add(const EncodedPauseSums& sums, Time now, bool from_entry);
  static void Decay(Server& server, Time now);

  std::map<ServerKey, Server> servers_;
  // The server that was published with each revision.
  std::map<std::uint64_t, ServerKey> by_revision_;
  std::uint64_t revision_ = 0;
  PauseCollector for_peers_;
  Time next_for_peers_;
  Time next_publish_;
};

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/routing/server_chooser.h"

namespace coltsfootfork::bench {

// One run of the queue model.
struct ModelOptions {
  ChoicePolicy policy;
  std::uint64_t seed = 1;
  // Offered work as a share of what all servers can do together.
  double load = 0.7;
  std::chrono::milliseconds report_every{200};
  std::chrono::milliseconds report_lag{100};
  ChoiceOptions choice;
};

struct ModelResult {
  // Of each request, in milliseconds, after the warm-up.
  std::vector<double> queue_delays;
  std::vector<double> first_token_times;
  double prompt_tokens = 0;
  double reused_tokens = 0;
};

// Servers of uneven speed with a first-come queue, a bounded batch and a
// prompt cache each, and entries that choose by late reports and late cache
// events, some of which get lost. Time is virtual.
class QueueModel {
 public:
  explicit QueueModel(const ModelOptions& options);

  ModelResult Run();

 private:
  enum class EventKind : std::uint8_t {
    kArrival,
    kEnd,
    kMakeReport,
    kTakeReport,
    kTakeHint,
  };

  struct Event {
    Time at;
    // Keeps events of one time in the order in which they were made.
    std::uint64_t order = 0;
    EventKind kind = EventKind::kArrival;
    std::uint32_t entry = 0;
    std::uint32_t server = 0;
    std::size_t payload = 0;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct Job {
    Time arrived;
    std::uint32_t entry = 0;
    std::uint64_t group = 0;
    double output_tokens = 0;
  };

  struct Server {
    double speed = 1.0;
    std::uint32_t running = 0;
    std::deque<Job> waiting;
    // Prompt groups in the cache, the least recently used first.
    std::deque<std::uint64_t> cached;
    std::uint64_t hint_sequence = 0;
  };

  struct Entry {
    explicit Entry(const ModelOptions& options, std::uint64_t seed)
        : servers(options.choice),
          hints(options.choice.hint_blocks_per_server),
          chooser(options.choice, seed) {}

    ServerTable servers;
    PrefixHints hints;
    ServerChooser chooser;
  };

  void Push(Duration in, Event event);
  void OnArrival(const Event& event);
  void OnEnd(const Event& event);
  void OnMakeReport(const Event& event);
  void Start(std::uint32_t server, const Job& job);
  bool TouchCache(std::uint32_t server, std::uint64_t group);
  void SendHint(std::uint32_t server, const CacheHint& hint);
  ServerReport MakeReport(std::uint32_t server) const;
  double Uniform();
  Job MakeJob(std::uint32_t entry);

  ModelOptions options_;
  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t order_ = 0;
  double arrivals_per_second_ = 0;
  std::vector<Server> servers_;
  std::vector<Entry> entries_;
  std::vector<ServerReport> reports_;
  std::vector<CacheHint> hints_;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
  ModelResult result_;
};

}  // namespace coltsfootfork::bench

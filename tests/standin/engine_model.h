#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standin/standin_options.h"

namespace coltsfootfork::standin {

using Now = std::chrono::steady_clock::time_point;
// Takes one event of a stream; `last` ends it.
using Sink = std::function<void(const std::string& event, bool last)>;

// One generation, waiting or in the batch.
struct Run {
  std::string request;
  std::uint32_t generation = 1;
  std::uint32_t priority = 1;
  std::string marker;
  std::uint32_t prompt_tokens = 1;
  std::uint32_t output_tokens = 1;
  // Why it ends at its length: "stop" or "length".
  std::string finish_reason = "stop";
  std::vector<std::uint64_t> prefix_blocks;
  std::uint32_t next_index = 0;
  bool in_batch = false;
  // The prompt is worked off, or the detached run is forgotten, at this time.
  Now prefilled_at;
  Now forget_at = Now::max();
  Sink sink;
  std::uint32_t sent_on_link = 0;

  bool done() const { return next_index >= output_tokens; }
  std::uint64_t memory() const { return prompt_tokens + next_index; }
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

// Continuous batching over a limited key/value memory. It reads no clock.
class EngineModel {
 public:
  explicit EngineModel(const StandinOptions& options) : options_(options) {}

  // Takes the place of an older generation of the same request.
  void Submit(Run run);
  // Goes on with a known request; false when there is none.
  bool Resume(const std::string& request, std::uint32_t generation,
              std::uint32_t from_index, Sink sink);
  void Cancel(const std::string& request, std::uint32_t generation);
  // The link that carried the generation broke.
  void Detach(const std::string& request, std::uint32_t generation, Now now);
  // Makes one token for each request of the batch.
  void Step(Now now);
  // How long the next step takes.
  std::chrono::microseconds StepTime() const;

  bool idle() const { return runs_.empty(); }
  std::uint32_t running() const;
  std::uint32_t waiting() const;
  std::uint64_t memory_used() const;
  std::uint64_t preemptions() const { return preemptions_; }
  std::uint64_t cancels() const { return cancels_; }
  // The cache's changes since the last call.
  std::vector<CacheEvent> TakeCacheEvents();

 private:
  std::list<Run>::iterator Find(const std::string& request);
  void Admit(Now now);
  void MakeRoom();
  void Emit(Run& run, std::uint32_t index);
  std::uint32_t UncachedTokens(const Run& run) const;
  void CachePrefix(const Run& run);

  const StandinOptions options_;
  std::list<Run> runs_;
  std::set<std::uint64_t> cached_;
  std::vector<std::uint64_t> cache_order_;
  std::vector<CacheEvent> events_;
  std::uint64_t event_sequence_ = 0;
  std::uint64_t preemptions_ = 0;
  std::uint64_t cancels_ = 0;
};

}  // namespace coltsfootfork::standin

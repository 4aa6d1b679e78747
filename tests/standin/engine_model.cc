#include "standin/engine_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootfork::standin {
namespace {

constexpr std::chrono::seconds kKeepDetached{10};
constexpr std::size_t kCachedBlocks = 256;

std::string Event(const nlohmann::json& data) {
  return "data: " + data.dump() + "\n\n";
}

}  // namespace

void EngineModel::Submit(Run run) {
  auto older = Find(run.request);
  if (older != runs_.end()) runs_.erase(older);
  runs_.push_back(std::move(run));
}

std::list<Run>::iterator EngineModel::Find(const std::string& request) {
  return std::find_if(runs_.begin(), runs_.end(),
                      [&](const Run& run) { return run.request == request; });
}

bool EngineModel::Resume(const std::string& request, std::uint32_t generation,
                         std::uint32_t from_index, Sink sink) {
  auto run = Find(request);
  if (run == runs_.end() || from_index > run->next_index) return false;
  run->generation = generation;
  run->sink = std::move(sink);
  run->sent_on_link = 0;
  run->forget_at = Now::max();
  for (std::uint32_t i = from_index; i < run->next_index; ++i) Emit(*run, i);
  if (run->done()) runs_.erase(run);
  return true;
}

void EngineModel::Cancel(const std::string& request, std::uint32_t generation) {
  auto run = Find(request);
  if (run == runs_.end() || run->generation > generation) return;
  ++cancels_;
  if (run->sink) run->sink("", true);
  runs_.erase(run);
}

void EngineModel::Detach(const std::string& request, std::uint32_t generation,
                         Now now) {
  auto run = Find(request);
  if (run == runs_.end() || run->generation != generation) return;
  if (!options_.can_resume) return Cancel(request, generation);
  run->sink = nullptr;
  run->forget_at = now + kKeepDetached;
}

void EngineModel::Emit(Run& run, std::uint32_t index) {
  if (!run.sink) return;
  ++run.sent_on_link;
  if (options_.silent_after && run.sent_on_link > options_.silent_after) return;
  const bool last = index + 1 == run.output_tokens;
  std::string text = Event(
      {{"index", index}, {"text", run.marker + " t" + std::to_string(index)}});
  if (last) {
    text += Event({{"finish_reason", run.finish_reason},
                   {"token_count", run.output_tokens}});
  }
  run.sink(text, last);
}

void EngineModel::Step(Now now) {
  MakeRoom();
  Admit(now);
  for (Run& run : runs_) {
    if (!run.in_batch || run.prefilled_at > now || run.done()) continue;
    Emit(run, run.next_index++);
  }
  runs_.remove_if([&](const Run& run) {
    const bool silent =
        options_.silent_after && run.sent_on_link > options_.silent_after;
    return run.forget_at <= now || (run.done() && run.sink && !silent);
  });
}

void EngineModel::MakeRoom() {
  while (running() > 1 && memory_used() + running() > options_.memory_tokens) {
    // The least urgent goes, the youngest among equals.
    auto victim = runs_.end();
    for (auto run = runs_.begin(); run != runs_.end(); ++run) {
      if (!run->in_batch || run->done()) continue;
      if (victim == runs_.end() || run->priority >= victim->priority) {
        victim = run;
      }
    }
    if (victim == runs_.end()) return;
    ++preemptions_;
    victim->in_batch = false;
    if (victim->sink) victim->sink(Event({{"preempted", true}}), false);
  }
}

void EngineModel::Admit(Now now) {
  while (running() < options_.max_batch) {
    auto next = runs_.end();
    for (auto run = runs_.begin(); run != runs_.end(); ++run) {
      if (run->in_batch || run->done()) continue;
      if (next == runs_.end() || run->priority < next->priority) next = run;
    }
    if (next == runs_.end()) return;
    const std::uint64_t needed = memory_used() + next->memory() + running() + 1;
    if (running() > 0 && needed > options_.memory_tokens) return;
    next->prefilled_at =
        now + options_.prefill_per_token * UncachedTokens(*next);
    next->in_batch = true;
    CachePrefix(*next);
  }
}

std::uint32_t EngineModel::UncachedTokens(const Run& run) const {
  // A preempted run's own tokens are worked off again with the prompt.
  const std::uint32_t tokens = run.memory();
  std::size_t hits = 0;
  while (hits < run.prefix_blocks.size() &&
         cached_.count(run.prefix_blocks[hits])) {
    ++hits;
  }
  return hits == 0 ? tokens : tokens - tokens * hits / run.prefix_blocks.size();
}

void EngineModel::CachePrefix(const Run& run) {
  CacheEvent event;
  for (std::uint64_t block : run.prefix_blocks) {
    if (!cached_.insert(block).second) continue;
    event.added.push_back(block);
    cache_order_.push_back(block);
  }
  while (cache_order_.size() > kCachedBlocks) {
    event.removed.push_back(cache_order_.front());
    cached_.erase(cache_order_.front());
    cache_order_.erase(cache_order_.begin());
  }
  if (event.added.empty()) return;
  event.sequence = ++event_sequence_;
  const bool drop = options_.event_gap_every &&
                    event_sequence_ % options_.event_gap_every == 0;
  if (!drop) events_.push_back(std::move(event));
}

std::chrono::microseconds EngineModel::StepTime() const {
  return options_.token_interval +
         options_.token_interval * running() / (2 * options_.max_batch);
}

std::uint32_t EngineModel::running() const {
  return std::count_if(runs_.begin(), runs_.end(), [](const Run& run) {
    return run.in_batch && !run.done();
  });
}

std::uint32_t EngineModel::waiting() const {
  return std::count_if(runs_.begin(), runs_.end(),
                       [](const Run& run) { return !run.in_batch; });
}

std::uint64_t EngineModel::memory_used() const {
  std::uint64_t used = 0;
  for (const Run& run : runs_) used += run.in_batch ? run.memory() : 0;
  return used;
}

std::vector<CacheEvent> EngineModel::TakeCacheEvents() {
  return std::exchange(events_, {});
}

}  // namespace coltsfootfork::standin

#include "scheduling/virtual_engine.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {

VirtualEngine::VirtualEngine(EngineModel model, LengthOf length_of)
    : model_(model), length_of_(std::move(length_of)) {}

bool VirtualEngine::GoesBefore(const Sequence& a, const Sequence& b) {
  if (a.rank != b.rank) return a.rank < b.rank;
  return a.order < b.order;
}

void VirtualEngine::Wait(Sequence sequence) {
  const auto place = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const Sequence& other) { return GoesBefore(sequence, other); });
  waiting_.insert(place, std::move(sequence));
}

void VirtualEngine::Submit(const Dispatch& dispatch, Time /*now*/) {
  Sequence sequence;
  sequence.request = dispatch.request;
  sequence.generation = dispatch.generation;
  sequence.rank = dispatch.rank;
  sequence.order = next_order_++;
  sequence.prompt = dispatch.prompt_tokens;
  sequence.made = dispatch.first_index;
  sequence.length = length_of_(dispatch.request);
  Wait(std::move(sequence));
}

void VirtualEngine::Cancel(const RequestId& request) {
  const auto is_it = [&](const Sequence& s) { return s.request == request; };
  waiting_.remove_if(is_it);
  running_.remove_if(is_it);
}

std::uint64_t VirtualEngine::Held() const {
  std::uint64_t held = 0;
  for (const Sequence& sequence : running_) held += sequence.context();
  return held;
}

void VirtualEngine::Admit() {
  std::uint64_t held = Held();
  while (!waiting_.empty() && running_.size() < model_.max_batch) {
    Sequence& next = waiting_.front();
    if (held + next.context() + 1 > model_.memory_tokens) return;
    held += next.context();
    next.prefill_left = static_cast<std::uint32_t>(next.context());
    running_.splice(running_.end(), waiting_, waiting_.begin());
  }
}

VirtualEngine::List::iterator VirtualEngine::Victim() {
  return std::max_element(running_.begin(), running_.end(), GoesBefore);
}

void VirtualEngine::MakeRoom(std::vector<EngineToAgent>& messages) {
  while (running_.size() > 1 &&
         Held() + running_.size() > model_.memory_tokens) {
    const auto victim = Victim();
    ++preemptions_;
    if (victim->rank == Rank::kUrgent) ++urgent_preemptions_;
    messages.emplace_back(EnginePreempted{victim->request, victim->generation});
    Sequence sequence = std::move(*victim);
    running_.erase(victim);
    Wait(std::move(sequence));
  }
}

std::vector<EngineToAgent> VirtualEngine::BeginStep(Time now) {
  std::vector<EngineToAgent> messages;
  MakeRoom(messages);
  if (messages.empty()) Admit();
  std::uint32_t chunk = model_.prefill_chunk;
  std::chrono::nanoseconds cost = model_.step_base;
  running_.sort(GoesBefore);
  for (Sequence& sequence : running_) {
    const std::uint32_t taken = std::min(chunk, sequence.prefill_left);
    chunk -= taken;
    sequence.prefill_left -= taken;
    sequence.makes_token = sequence.prefill_left == 0;
    cost += taken * model_.per_prefill_token;
    if (!sequence.makes_token) continue;
    cost += model_.per_sequence;
    cost += sequence.context() * model_.per_context_token;
  }
  step_end_ = now + std::chrono::duration_cast<Duration>(cost);
  in_step_ = true;
  return messages;
}

std::vector<EngineToAgent> VirtualEngine::EndStep() {
  std::vector<EngineToAgent> messages;
  in_step_ = false;
  for (auto it = running_.begin(); it != running_.end();) {
    if (!it->makes_token) {
      ++it;
      continue;
    }
    messages.emplace_back(
        EngineToken{it->request, it->generation, it->made, "t"});
    ++it->made;
    if (it->made < it->length) {
      ++it;
      continue;
    }
    EngineCompleted completed;
    completed.request = it->request;
    completed.generation = it->generation;
    completed.token_count = it->made;
    completed.finish_reason = "stop";
    messages.emplace_back(std::move(completed));
    it = running_.erase(it);
  }
  return messages;
}

}  // namespace coltsfootfork

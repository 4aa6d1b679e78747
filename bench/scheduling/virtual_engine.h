#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <vector>

#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What one step of the engine costs, and what it can hold.
struct EngineModel {
  std::chrono::nanoseconds step_base{9'000'000};
  std::chrono::nanoseconds per_sequence{120'000};
  std::chrono::nanoseconds per_context_token{50};
  std::chrono::nanoseconds per_prefill_token{20'000};
  // Prompt tokens that one step may take in.
  std::uint32_t prefill_chunk = 256;
  std::uint64_t memory_tokens = 40'000;
  std::uint32_t max_batch = 256;
};

// An engine in virtual time: continuous batching, prefill in chunks, limited
// key/value memory. When memory is full, it drops the memory of the least
// urgent, latest request, and later computes it anew.
class VirtualEngine {
 public:
  // Gives the true output length of a request, unknown to the agent.
  using LengthOf = std::function<std::uint32_t(const RequestId&)>;

  VirtualEngine(EngineModel model, LengthOf length_of);

  void Submit(const Dispatch& dispatch, Time now);
  void Cancel(const RequestId& request);

  bool idle() const { return waiting_.empty() && running_.empty(); }
  // When the running step ends. Only when not idle and a step was begun.
  Time step_end() const { return step_end_; }
  bool in_step() const { return in_step_; }

  // Begins a step; what it drops to make room comes back as messages.
  std::vector<EngineToAgent> BeginStep(Time now);
  // Ends the step: its tokens and completions.
  std::vector<EngineToAgent> EndStep();

  std::uint64_t preemptions() const { return preemptions_; }
  std::uint64_t urgent_preemptions() const { return urgent_preemptions_; }

 private:
  struct Sequence {
    RequestId request;
    Generation generation = 1;
    Rank rank = Rank::kDeferrable;
    std::uint64_t order = 0;
    std::uint32_t prompt = 0;
    std::uint32_t made = 0;
    std::uint32_t length = 0;
    // Tokens to take in before the next token is made.
    std::uint32_t prefill_left = 0;
    bool makes_token = false;

    std::uint64_t context() const { return std::uint64_t{prompt} + made; }
  };
  using List = std::list<Sequence>;

  static bool GoesBefore(const Sequence& a, const Sequence& b);
  void Wait(Sequence sequence);
  void Admit();
  void MakeRoom(std::vector<EngineToAgent>& messages);
  List::iterator Victim();
  std::uint64_t Held() const;

  EngineModel model_;
  LengthOf length_of_;
  // Most urgent, earliest first.
  List waiting_;
  List running_;
  bool in_step_ = false;
  Time step_end_;
  std::uint64_t next_order_ = 0;
  std::uint64_t preemptions_ = 0;
  std::uint64_t urgent_preemptions_ = 0;
};

}  // namespace coltsfootfork

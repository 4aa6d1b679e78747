#include "core/scheduling/engine_events.h"

#include <variant>

#include "core/scheduling/announcement.h"
#include "core/scheduling/request_outcomes.h"

namespace coltsfootfork {
namespace {

// Weight of the newest sample in the moving average of the prefill time.
constexpr double kPrefillSmoothing = 0.05;

// Processes the messages of the backend server.
class EngineEvents {
 public:
  EngineEvents(AgentState& state, Time now, Effects& effects)
      : state_(state), now_(now), effects_(effects) {}

  void operator()(const EngineAnnouncement& announced) {
    HandleAnnouncement(state_, announced, effects_);
  }
  void operator()(const EngineLoad& /*load*/) {}
  void operator()(const CacheHint& hint) {
    for (const ProcessId& entry : state_.entries) effects_.ToEntry(entry, hint);
  }
  void operator()(const EngineOrderResult& result) {
    effects_.SettleOrder(result);
  }

  void operator()(const EngineToken& token);
  void operator()(const EngineCompleted& completed);
  void operator()(const EngineRefused& refused);
  void operator()(const EngineInterrupted& interrupted);
  void operator()(const EnginePreempted& preempted);

 private:
  // The running request; nullptr, counted as a stale frame, if the attempt is
  // superseded or has ended.
  RunningRequest* FindRunning(const RequestId& request, Generation generation);
  // Reports to the entry that the dispatch did not run.
  void Refuse(const RunningRequest& running, Reason reason);
  void RecordTokenTiming(const RunningRequest& running);
  bool CanResume(const RunningRequest& running) const {
    return state_.server.can_resume && running.kind == RequestKind::kGeneration;
  }

  AgentState& state_;
  Time now_;
  Effects& effects_;
};

RunningRequest* EngineEvents::FindRunning(const RequestId& request,
                                          Generation generation) {
  RunningRequest* running = state_.running.Find(request, generation);
  if (running == nullptr) {
    effects_.Count(Reason::kStaleGeneration, Rank::kDeferrable, {});
  }
  return running;
}

void EngineEvents::Refuse(const RunningRequest& running, Reason reason) {
  effects_.Count(reason, running.rank, running.service);
  effects_.ToEntry(running.entry,
                   RequestRefused{running.request, running.generation, reason,
                                  std::chrono::milliseconds(0)});
  RemoveRunning(state_, running, RunProof::kDidNotRun);
}

void EngineEvents::RecordTokenTiming(const RunningRequest& running) {
  if (!running.in_prefill()) {
    // The gap of a preempted stream does not depend on the batch size.
    if (!running.preempted) {
      state_.admission.batch().CountGap(now_ - running.last_progress);
    }
    return;
  }
  if (running.prompt_tokens == 0) return;
  const std::chrono::duration<double> elapsed = now_ - running.started;
  auto& prefill_time = state_.prefill_per_token;
  prefill_time +=
      kPrefillSmoothing * (elapsed / running.prompt_tokens - prefill_time);
}

void EngineEvents::operator()(const EngineToken& token) {
  RunningRequest* running = FindRunning(token.request, token.generation);
  if (running == nullptr) return;
  if (token.index < running->next_index) {
    effects_.Count(Reason::kDuplicateFrame, running->rank, running->service);
    return;
  }
  if (token.index > running->next_index) {
    Interrupt(state_, *running, {Reason::kFrameGap, CanResume(*running), true},
              effects_);
    return;
  }
  RecordTokenTiming(*running);
  // Only the end of a prefill frees capacity; other tokens wait for the next
  // tick.
  state_.may_start = running->in_prefill();
  state_.running.Advance(*running, now_);
  state_.admission.Refresh(*running, state_.lengths);
  state_.capacity.CountTokens(running->rank, 1);
  state_.queue.CountOutputTokens(running->rank, 1);
  state_.limiter.CountTokens(running->workspace, 1, now_);
  ChargeBeyondEstimate(state_, *running);
  effects_.ToEntry(running->entry, TokenFrame{token.request, token.generation,
                                              token.index, token.text});
}

void EngineEvents::operator()(const EngineCompleted& completed) {
  RunningRequest* running =
      FindRunning(completed.request, completed.generation);
  if (running == nullptr) return;
  const bool is_generation = running->kind == RequestKind::kGeneration;
  const bool is_complete = !is_generation || completed.status != 200 ||
                           completed.token_count == running->next_index;
  if (!is_complete) {
    Interrupt(state_, *running,
              {Reason::kStreamIncomplete, CanResume(*running), false},
              effects_);
    return;
  }
  if (is_generation && completed.status == 200) {
    state_.lengths.Record(running->service, running->workspace,
                          completed.token_count);
  }
  if (!is_generation) {
    state_.capacity.CountTokens(running->rank, running->charged_tokens);
    state_.queue.CountOutputTokens(running->rank, running->charged_tokens);
  }
  effects_.ToEntry(running->entry,
                   RequestCompleted{completed.request, completed.generation,
                                    completed.token_count,
                                    completed.finish_reason, completed.status,
                                    completed.content_type, completed.body});
  RemoveRunning(state_, *running);
}

void EngineEvents::operator()(const EngineRefused& refused) {
  RunningRequest* running = FindRunning(refused.request, refused.generation);
  if (running == nullptr) return;
  if (running->next_index > 0) {
    // The server does not know the stream to resume.
    Interrupt(state_, *running, {Reason::kStreamIncomplete, false, false},
              effects_);
    return;
  }
  Refuse(*running, Reason::kServerRefused);
}

void EngineEvents::operator()(const EngineInterrupted& interrupted) {
  RunningRequest* running =
      FindRunning(interrupted.request, interrupted.generation);
  if (running == nullptr) return;
  if (interrupted.never_sent && running->generated_tokens() == 0) {
    Refuse(*running, Reason::kServerLost);
    return;
  }
  Interrupt(state_, *running, {Reason::kServerLost, CanResume(*running), false},
            effects_);
}

void EngineEvents::operator()(const EnginePreempted& preempted) {
  RunningRequest* running =
      FindRunning(preempted.request, preempted.generation);
  if (running == nullptr) return;
  running->preempted = true;
  running->last_progress = now_;
  state_.admission.CountPreemption(now_);
}

}  // namespace

void HandleEngineMessage(AgentState& state, const EngineToAgent& message,
                         Time now, Effects& effects) {
  state.server_last_seen = now;
  std::visit(EngineEvents(state, now, effects), message);
}

}  // namespace coltsfootfork

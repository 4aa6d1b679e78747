#include "core/scheduling/request_outcomes.h"

#include <vector>

#include "core/scheduling/start_delay.h"

namespace coltsfootfork {
namespace {

// Tokens charged at a time to a stream that exceeds its estimate.
constexpr double kChargeStepTokens = 32;

}  // namespace

void RefuseDispatch(AgentState& state, const ProcessId& entry,
                    const Dispatch& dispatch, Reason reason,
                    std::chrono::milliseconds retry_after, Effects& effects) {
  state.refused.Remember(dispatch.request, dispatch.generation);
  effects.Count(reason, dispatch.rank, dispatch.service);
  effects.ToEntry(entry, RequestRefused{dispatch.request, dispatch.generation,
                                        reason, retry_after});
}

void RefuseQueued(AgentState& state, const QueuedRequest& request,
                  Reason reason, Effects& effects) {
  const Dispatch& dispatch = request.dispatch;
  if (dispatch.kind == RequestKind::kGeneration) {
    state.limiter.ReleaseStream(dispatch.workspace);
  }
  RefuseDispatch(state, request.entry, dispatch, reason,
                 RetryAfter(state, dispatch.rank), effects);
}

void RefuseAllQueued(AgentState& state, Reason reason, Effects& effects) {
  for (const QueuedRequest& request : state.queue.RemoveAll()) {
    RefuseQueued(state, request, reason, effects);
  }
}

void ChargeBeyondEstimate(AgentState& state, RunningRequest& request) {
  if (request.generated_tokens() <= request.charged_tokens) return;
  state.queue.AdjustCharge(request.rank, request.workspace, kChargeStepTokens);
  request.charged_tokens += kChargeStepTokens;
}

void RemoveRunning(AgentState& state, const RunningRequest& request,
                   RunProof proof) {
  const double generated_tokens = request.kind == RequestKind::kGeneration
                                      ? request.generated_tokens()
                                      : request.charged_tokens;
  state.queue.AdjustCharge(request.rank, request.workspace,
                           generated_tokens - request.charged_tokens);
  if (request.kind == RequestKind::kGeneration) {
    state.limiter.ReleaseStream(request.workspace);
  }
  EndedAttempts& attempts =
      proof == RunProof::kDidNotRun ? state.refused : state.ended;
  attempts.Remember(request.request, request.generation);
  state.running.Remove(RequestId(request.request));
}

void Interrupt(AgentState& state, const RunningRequest& request,
               const Interruption& interruption, Effects& effects) {
  effects.Count(interruption.reason, request.rank, request.service);
  if (interruption.cancel) {
    effects.ToEngine(EngineCancel{request.request, request.generation});
  }
  effects.ToEntry(
      request.entry,
      RequestInterrupted{request.request, request.generation,
                         interruption.reason, interruption.resumable});
  RemoveRunning(state, request);
}

void InterruptAll(AgentState& state, Reason reason, bool cancel,
                  Effects& effects) {
  while (state.running.size() > 0) {
    const RunningRequest& request = state.running.all().begin()->second;
    const bool resumable =
        state.server.can_resume && request.kind == RequestKind::kGeneration;
    Interrupt(state, request, {reason, resumable, cancel}, effects);
  }
}

}  // namespace coltsfootfork

#include "core/scheduling/entry_events.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/scheduling/request_outcomes.h"
#include "core/scheduling/start_delay.h"

namespace coltsfootfork {
namespace {

// Share of its start deadline that the estimated wait of a request may reach.
constexpr double kMaxWaitShare = 0.8;
// Charge of a plain call in tokens.
constexpr double kPlainCallTokens = 1;
constexpr std::chrono::hours kUnboundedStart{24};

// Cancels a running request whose caller has disconnected. A non-idempotent
// call runs to its end, since a partial execution would be of no use.
void CancelRunning(AgentState& state, const RunningRequest& request,
                   Effects& effects) {
  if (request.non_idempotent) return;
  effects.ToEngine(EngineCancel{request.request, request.generation});
  RemoveRunning(state, request);
}

// True for a duplicate dispatch or an older generation of a known request.
bool IsDuplicate(AgentState& state, const Dispatch& dispatch) {
  const QueuedRequest* queued = state.queue.Find(dispatch.request);
  if (queued != nullptr) {
    return queued->dispatch.generation >= dispatch.generation;
  }
  const RunningRequest* running = state.running.Find(dispatch.request);
  if (running != nullptr) {
    return running->non_idempotent ||
           running->generation >= dispatch.generation;
  }
  // A non-idempotent call that may have run is not run under a new generation.
  if (dispatch.non_idempotent && state.ended.Contains(dispatch.request)) {
    return true;
  }
  return state.ended.IsDuplicate(dispatch) ||
         state.refused.IsDuplicate(dispatch);
}

void RemoveQueued(AgentState& state, const RequestId& request) {
  const auto removed = state.queue.Remove(request);
  if (removed && removed->dispatch.kind == RequestKind::kGeneration) {
    state.limiter.ReleaseStream(removed->dispatch.workspace);
  }
}

// A newer generation supersedes the older one.
void CancelSuperseded(AgentState& state, const RequestId& request,
                      Effects& effects) {
  RemoveQueued(state, request);
  const RunningRequest* running = state.running.Find(request);
  if (running == nullptr) return;
  effects.ToEngine(EngineCancel{running->request, running->generation});
  RemoveRunning(state, *running);
}

// Reason to refuse the dispatch, or kNone.
Reason RefusalReason(const AgentState& state, const Dispatch& dispatch) {
  if (state.stopping) return Reason::kStopping;
  if (state.configuration == nullptr) return Reason::kNotConfigured;
  if (state.lifecycle.stage() == ServerStage::kUnavailable) {
    return Reason::kServerLost;
  }
  if (state.lifecycle.stage() == ServerStage::kDraining) {
    return Reason::kServerDraining;
  }
  const auto& services = state.server.services;
  const bool is_offered = std::find(services.begin(), services.end(),
                                    dispatch.service) != services.end();
  if (!is_offered) return Reason::kUnknownService;
  const std::uint64_t kv_tokens =
      std::uint64_t{dispatch.prompt_tokens} + dispatch.first_index;
  const std::uint64_t memory = state.server.memory_tokens;
  if (memory > 0 && kv_tokens >= memory) return Reason::kRequestTooLarge;
  return Reason::kNone;
}

bool CannotStartInTime(const AgentState& state, const Dispatch& dispatch) {
  if (dispatch.start_within.count() == 0) return false;
  // A resumed stream is queued at the front.
  if (dispatch.first_index > 0) return false;
  const Duration delay =
      EstimateStartDelay(state, dispatch.rank, dispatch.workspace);
  const Duration within = dispatch.start_within;
  return static_cast<double>(delay.count()) >
         kMaxWaitShare * static_cast<double>(within.count());
}

double ExpectedTokens(const AgentState& state, const Dispatch& dispatch) {
  if (dispatch.kind == RequestKind::kPlainCall) return kPlainCallTokens;
  if (dispatch.first_index > 0) {
    return state.lengths.Remaining(dispatch.service, dispatch.workspace,
                                   dispatch.first_index,
                                   dispatch.max_output_tokens, 0.5);
  }
  return state.lengths.MeanLength(dispatch.service, dispatch.workspace,
                                  dispatch.max_output_tokens);
}

void Enqueue(AgentState& state, const ProcessId& entry,
             const Dispatch& dispatch, Time now, Effects& effects) {
  QueuedRequest request;
  request.entry = entry;
  request.dispatch = dispatch;
  request.arrived = now;
  const bool bounded = dispatch.start_within.count() > 0;
  request.start_by = now + (bounded ? Duration(dispatch.start_within)
                                    : Duration(kUnboundedStart));
  request.expected_tokens = ExpectedTokens(state, dispatch);
  const bool resumes = dispatch.first_index > 0;
  Enqueued result = state.queue.Push(
      std::move(request), state.WeightOf(dispatch.workspace), resumes);
  if (result.displaced) {
    RefuseQueued(state, *result.displaced, Reason::kQueueFull, effects);
  }
  if (result.accepted) return;
  if (dispatch.kind == RequestKind::kGeneration) {
    state.limiter.ReleaseStream(dispatch.workspace);
  }
  RefuseDispatch(state, entry, dispatch, Reason::kQueueFull,
                 RetryAfter(state, dispatch.rank), effects);
}

}  // namespace

void HandleDispatch(AgentState& state, const ProcessId& entry,
                    const Dispatch& dispatch, Time now, Effects& effects) {
  if (IsDuplicate(state, dispatch)) {
    effects.Count(Reason::kDuplicateFrame, dispatch.rank, dispatch.service);
    return;
  }
  CancelSuperseded(state, dispatch.request, effects);
  const Reason refusal = RefusalReason(state, dispatch);
  if (refusal != Reason::kNone) {
    RefuseDispatch(state, entry, dispatch, refusal,
                   RetryAfter(state, dispatch.rank), effects);
    return;
  }
  if (CannotStartInTime(state, dispatch)) {
    RefuseDispatch(state, entry, dispatch, Reason::kDeadlineUnreachable,
                   RetryAfter(state, dispatch.rank), effects);
    return;
  }
  const bool is_stream = dispatch.kind == RequestKind::kGeneration;
  if (dispatch.first_index > 0) {
    state.limiter.AdmitResumed(dispatch.workspace, is_stream);
  } else {
    const LimitVerdict verdict =
        state.limiter.Admit(dispatch.workspace, is_stream, now);
    if (verdict.reason != Reason::kNone) {
      RefuseDispatch(state, entry, dispatch, verdict.reason,
                     verdict.retry_after, effects);
      return;
    }
  }
  if (is_stream) state.admission.batch().OnRankActive(dispatch.rank, now);
  Enqueue(state, entry, dispatch, now, effects);
}

void HandleCancel(AgentState& state, const CancelRequest& cancel,
                  Effects& effects) {
  const auto* queued = state.queue.Find(cancel.request);
  if (queued != nullptr) {
    if (queued->dispatch.generation > cancel.generation) return;
    effects.Count(Reason::kCallerDisconnected, queued->dispatch.rank,
                  queued->dispatch.service);
    RemoveQueued(state, cancel.request);
    return;
  }
  const RunningRequest* running = state.running.Find(cancel.request);
  if (running == nullptr || running->generation > cancel.generation) return;
  effects.Count(Reason::kCallerDisconnected, running->rank, running->service);
  CancelRunning(state, *running, effects);
}

void HandleEntryDisconnected(AgentState& state, const ProcessId& entry,
                             Effects& effects) {
  state.entries.erase(entry);
  for (const QueuedRequest& request : state.queue.RemoveByEntry(entry)) {
    if (request.dispatch.kind == RequestKind::kGeneration) {
      state.limiter.ReleaseStream(request.dispatch.workspace);
    }
    effects.Count(Reason::kCallerDisconnected, request.dispatch.rank,
                  request.dispatch.service);
  }
  std::vector<RequestId> of_entry;
  for (const auto& [id, request] : state.running.all()) {
    if (request.entry == entry) of_entry.push_back(id);
  }
  for (const RequestId& id : of_entry) {
    const RunningRequest* running = state.running.Find(id);
    effects.Count(Reason::kCallerDisconnected, running->rank, running->service);
    CancelRunning(state, *running, effects);
  }
}

}  // namespace coltsfootfork

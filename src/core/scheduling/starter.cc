#include "core/scheduling/starter.h"

#include <utility>

namespace coltsfootfork {
namespace {

RunningRequest ToRunning(const AgentState& state, const StartedRequest& started,
                         Time now) {
  const Dispatch& dispatch = started.request.dispatch;
  RunningRequest running;
  running.entry = started.request.entry;
  running.request = dispatch.request;
  running.generation = dispatch.generation;
  running.workspace = dispatch.workspace;
  running.service = dispatch.service;
  running.rank = dispatch.rank;
  running.kind = dispatch.kind;
  running.non_idempotent = dispatch.non_idempotent;
  running.prompt_tokens = dispatch.prompt_tokens;
  running.max_output_tokens = dispatch.max_output_tokens;
  running.first_index = dispatch.first_index;
  running.next_index = dispatch.first_index;
  running.started = now;
  running.last_progress = now;
  running.charged_tokens = started.request.expected_tokens;
  running.in_contention = started.in_contention;
  state.admission.Refresh(running, state.lengths);
  return running;
}

void StartHead(AgentState& state, Rank rank, Time now, Effects& effects) {
  const double tokens = state.queue.Head(rank).expected_tokens;
  StartedRequest started = state.queue.PopHead(rank, tokens);
  state.running.Add(ToRunning(state, started, now));
  effects.ToEngine(EngineSubmit{std::move(started.request.dispatch)});
}

}  // namespace

void StartWhatFits(AgentState& state, Time now, Effects& effects) {
  if (!state.Serving()) return;
  while (!state.queue.empty()) {
    const Rank rank = state.queue.NextRank();
    const QueuedRequest& head = state.queue.Head(rank);
    const bool is_floor = state.queue.NextIsFloor();
    if (!state.admission.MayStart(head, is_floor, state.running,
                                  state.lengths)) {
      return;
    }
    StartHead(state, rank, now, effects);
  }
}

}  // namespace coltsfootfork

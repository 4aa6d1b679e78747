#include "core/scheduling/starter.h"

#include <cmath>
#include <utility>

namespace coltsfootfork {
namespace {

RunningRequest ToRunning(const AgentState& state, const QueuedRequest& queued,
                         Time now) {
  const Dispatch& dispatch = queued.dispatch;
  RunningRequest running;
  running.entry = queued.entry;
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
  running.charged_tokens = queued.expected_tokens;
  state.admission.Refresh(running, state.lengths);
  return running;
}

// Records the wait of an urgent request for the headroom, if deferrable work
// runs beyond its floor.
void RecordWait(AgentState& state, const QueuedRequest& queued, Time now) {
  if (queued.dispatch.rank != Rank::kUrgent) return;
  const double floor = state.queue.floor() * (state.running.size() + 1);
  if (state.running.size(Rank::kDeferrable) <= std::ceil(floor)) return;
  state.admission.headroom().CountWait(now - queued.arrived);
}

// True if the workspace has fewer than half the running requests of the average
// workspace with running requests.
bool IsSmallCaller(const RunningTable& running, const WorkspaceId& workspace) {
  const std::uint64_t own = running.size(workspace);
  return own == 0 || 2 * own * running.workspaces() < running.size();
}

// Privilege of the request at the head of the queue.
Privilege PrivilegeOf(const AgentState& state, const Selection& selection,
                      const Dispatch& head) {
  if (selection.rank != Rank::kUrgent) {
    return selection.floor_due ? Privilege::kFull : Privilege::kNone;
  }
  return IsSmallCaller(state.running, head.workspace) ? Privilege::kSmallCaller
                                                      : Privilege::kFull;
}

void StartHead(AgentState& state, Rank rank, Time now, Effects& effects) {
  const double tokens = state.queue.Head(rank).expected_tokens;
  QueuedRequest queued = state.queue.PopHead(rank, tokens);
  RecordWait(state, queued, now);
  state.running.Add(ToRunning(state, queued, now));
  effects.ToEngine(EngineSubmit{std::move(queued.dispatch)});
}

// Starts the urgent head out of order if it belongs to a small caller, while
// the deferrable head that the floor requires does not fit: the capacity
// reserved for small callers is not available to the floor. Returns true if
// started.
bool StartSmallCallerHead(AgentState& state, Time now, Effects& effects) {
  const Selection selection{Rank::kUrgent, false};
  const Dispatch& head = state.queue.Head(selection.rank).dispatch;
  const Privilege privilege = PrivilegeOf(state, selection, head);
  if (privilege != Privilege::kSmallCaller) return false;
  if (!state.admission.MayStart(head, privilege, state.running,
                                state.lengths)) {
    return false;
  }
  StartHead(state, selection.rank, now, effects);
  return true;
}

}  // namespace

void StartQueued(AgentState& state, Time now, Effects& effects) {
  if (!state.Serving()) return;
  while (!state.queue.empty()) {
    const Selection selection = state.queue.SelectNext(
        {state.running.size(), state.running.size(Rank::kDeferrable)});
    const Dispatch& head = state.queue.Head(selection.rank).dispatch;
    const Privilege privilege = PrivilegeOf(state, selection, head);
    if (state.admission.MayStart(head, privilege, state.running,
                                 state.lengths)) {
      StartHead(state, selection.rank, now, effects);
    } else if (!selection.floor_due ||
               !StartSmallCallerHead(state, now, effects)) {
      return;
    }
  }
}

}  // namespace coltsfootfork

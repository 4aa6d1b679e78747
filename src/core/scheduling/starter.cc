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

// Urgent work that waited while deferrable work ran beyond its floor calls
// for more headroom.
void RecordWait(AgentState& state, const QueuedRequest& queued, Time now) {
  if (queued.dispatch.rank != Rank::kUrgent) return;
  const double floor = state.queue.floor() * (state.running.size() + 1);
  if (state.running.size(Rank::kDeferrable) <= std::ceil(floor)) return;
  state.admission.headroom().CountWait(now - queued.arrived);
}

// Whether the workspace runs less than half of what the workspaces with running
// work have on average.
bool IsSmallCaller(const RunningTable& running, const WorkspaceId& workspace) {
  const std::uint64_t own = running.size(workspace);
  return own == 0 || 2 * own * running.workspaces() < running.size();
}

// How the head of the line is held to the bounds.
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

// Starts the urgent head out of turn, while the floor's turn waits for room,
// if it is a small caller's: the part kept for those is of no use to the
// floor. Returns whether it did.
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

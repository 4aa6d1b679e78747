#include "core/scheduling/starter.h"

#include <cmath>
#include <utility>

namespace coltsfootfork {
namespace {

RunningRequest ToRunning(const AgentState& state, const QueuedRequest& started,
                         Time now) {
  const Dispatch& dispatch = started.dispatch;
  RunningRequest running;
  running.entry = started.entry;
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
  running.charged_tokens = started.expected_tokens;
  state.admission.Refresh(running, state.lengths);
  return running;
}

// Urgent work that waited while deferrable work ran beyond its floor calls
// for more headroom.
void NoteWait(AgentState& state, const QueuedRequest& started, Time now) {
  if (started.dispatch.rank != Rank::kUrgent) return;
  const double floor = state.queue.floor() * (state.running.size() + 1);
  if (state.running.size(Rank::kDeferrable) <= std::ceil(floor)) return;
  state.admission.headroom().CountWait(now - started.arrived);
}

// How the head of the line is held to the bounds.
Privilege PrivilegeOf(const AgentState& state, const Turn& turn,
                      const Dispatch& head) {
  if (turn.rank != Rank::kUrgent) {
    return turn.is_floor ? Privilege::kFull : Privilege::kNone;
  }
  const bool alone = state.running.size(head.workspace) == 0;
  return alone ? Privilege::kFirstOfWorkspace : Privilege::kFull;
}

void StartHead(AgentState& state, Rank rank, Time now, Effects& effects) {
  const double tokens = state.queue.Head(rank).expected_tokens;
  QueuedRequest started = state.queue.PopHead(rank, tokens);
  NoteWait(state, started, now);
  state.running.Add(ToRunning(state, started, now));
  effects.ToEngine(EngineSubmit{std::move(started.dispatch)});
}

}  // namespace

void StartWhatFits(AgentState& state, Time now, Effects& effects) {
  if (!state.Serving()) return;
  while (!state.queue.empty()) {
    const Turn turn = state.queue.Next(
        {state.running.size(), state.running.size(Rank::kDeferrable)});
    const Dispatch& head = state.queue.Head(turn.rank).dispatch;
    const Privilege privilege = PrivilegeOf(state, turn, head);
    if (!state.admission.MayStart(head, privilege, state.running,
                                  state.lengths)) {
      return;
    }
    StartHead(state, turn.rank, now, effects);
  }
}

}  // namespace coltsfootfork

#include "core/scheduling/announcement.h"

#include <vector>

#include "core/scheduling/endings.h"

namespace coltsfootfork {
namespace {

// The quantile of remaining lengths that counts when a server is reclaimed.
constexpr double kCautiousQuantile = 0.9;
// A stream makes at least a token in this time.
constexpr std::chrono::milliseconds kSlowToken{40};
// With less time than this left, everything that can be moved is moved.
constexpr std::chrono::milliseconds kLastMoment{1500};

bool IsNewIncarnation(const AgentState& state,
                      const EngineAnnouncement& announced) {
  return state.server.incarnation != announced.incarnation ||
         state.server.server != announced.server;
}

// Whether the entry can have the request go on elsewhere.
bool CanMove(const AgentState& state, const RunningRequest& request) {
  if (request.kind != RequestKind::kGeneration) return false;
  if (request.non_idempotent) return false;
  return state.server.can_resume || request.next_index == 0;
}

bool EndsWithin(const AgentState& state, const RunningRequest& request,
                std::chrono::milliseconds time) {
  if (time <= kLastMoment) return false;
  const double left = state.lengths.Remaining(
      request.service, request.workspace, request.next_index,
      request.max_output_tokens, kCautiousQuantile);
  return left * kSlowToken <= std::chrono::duration<double>(time);
}

// Moves what would be cut off when the server goes.
void MoveBeforeReclaim(AgentState& state, std::chrono::milliseconds time,
                       Effects& effects) {
  std::vector<RequestId> moved;
  for (const auto& [id, request] : state.running.all()) {
    const bool moves =
        CanMove(state, request) && !EndsWithin(state, request, time);
    if (moves) moved.push_back(id);
  }
  for (const RequestId& id : moved) {
    const RunningRequest& request = *state.running.Find(id);
    Interrupt(state, request,
              {Reason::kReclaimMove, state.server.can_resume, true}, effects);
  }
}

}  // namespace

void TakeAnnouncement(AgentState& state, const EngineAnnouncement& announced,
                      Effects& effects) {
  if (IsNewIncarnation(state, announced)) {
    InterruptAll(state, Reason::kServerLost, false, effects);
    RefuseAllWaiting(state, Reason::kServerLost, effects);
    state.report.due = true;
  }
  if (state.server.services != announced.services) state.report.due = true;
  state.server = announced;
  state.admission.SetServer({announced.memory_tokens, announced.max_batch});
  if (!announced.draining) {
    state.lifecycle.OnServing();
    return;
  }
  state.lifecycle.OnLeaving();
  RefuseAllWaiting(state, Reason::kServerDraining, effects);
  if (announced.drain_timeout.count() > 0) {
    MoveBeforeReclaim(state, announced.drain_timeout, effects);
  }
}

void TakeSilence(AgentState& state, Effects& effects) {
  state.lifecycle.OnSilent();
  // The server may run on behind a broken link.
  InterruptAll(state, Reason::kServerLost, true, effects);
  RefuseAllWaiting(state, Reason::kServerLost, effects);
}

}  // namespace coltsfootfork

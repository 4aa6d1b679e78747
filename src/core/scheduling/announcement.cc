#include "core/scheduling/announcement.h"

#include <vector>

#include "core/scheduling/request_outcomes.h"

namespace coltsfootfork {
namespace {

// Quantile of the remaining length used when a server is reclaimed.
constexpr double kConservativeQuantile = 0.9;
// Longest time that a stream is assumed to need per token.
constexpr std::chrono::milliseconds kMaxTokenTime{40};
// At or below this remaining time, all requests that can migrate do so.
constexpr std::chrono::milliseconds kImminentReclaim{1500};

bool IsNewIncarnation(const AgentState& state,
                      const EngineAnnouncement& announced) {
  return state.server.incarnation != announced.incarnation ||
         state.server.server != announced.server;
}

// True if the entry can resume or restart the request on another server.
bool CanMigrate(const AgentState& state, const RunningRequest& request) {
  if (request.kind != RequestKind::kGeneration) return false;
  if (request.non_idempotent) return false;
  return state.server.can_resume || request.next_index == 0;
}

bool FinishesWithin(const AgentState& state, const RunningRequest& request,
                    std::chrono::milliseconds time_left) {
  if (time_left <= kImminentReclaim) return false;
  const double remaining_tokens = state.lengths.Remaining(
      request.service, request.workspace, request.next_index,
      request.max_output_tokens, kConservativeQuantile);
  return remaining_tokens * kMaxTokenTime <=
         std::chrono::duration<double>(time_left);
}

// Migrates requests that would not finish before the server is reclaimed.
void MigrateBeforeReclaim(AgentState& state,
                          std::chrono::milliseconds time_left,
                          Effects& effects) {
  std::vector<RequestId> migrating;
  for (const auto& [id, request] : state.running.all()) {
    const bool must_migrate = CanMigrate(state, request) &&
                              !FinishesWithin(state, request, time_left);
    if (must_migrate) migrating.push_back(id);
  }
  for (const RequestId& id : migrating) {
    const RunningRequest& request = *state.running.Find(id);
    Interrupt(state, request,
              {Reason::kReclaimMove, state.server.can_resume, true}, effects);
  }
}

}  // namespace

void HandleAnnouncement(AgentState& state, const EngineAnnouncement& announced,
                        Effects& effects) {
  if (IsNewIncarnation(state, announced)) {
    InterruptAll(state, Reason::kServerLost, false, effects);
    RefuseAllQueued(state, Reason::kServerLost, effects);
    state.report.due = true;
  }
  if (state.server.services != announced.services) state.report.due = true;
  state.server = announced;
  state.admission.SetServer({announced.memory_tokens, announced.max_batch});
  if (!announced.draining) {
    state.lifecycle.OnServing();
    return;
  }
  state.lifecycle.OnDraining();
  RefuseAllQueued(state, Reason::kServerDraining, effects);
  if (announced.drain_timeout.count() > 0) {
    MigrateBeforeReclaim(state, announced.drain_timeout, effects);
  }
}

void HandleServerTimeout(AgentState& state, Effects& effects) {
  state.lifecycle.OnTimeout();
  // The server may still be running behind a broken link.
  InterruptAll(state, Reason::kServerLost, true, effects);
  RefuseAllQueued(state, Reason::kServerLost, effects);
}

}  // namespace coltsfootfork

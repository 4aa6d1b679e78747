#include "core/scheduling/deadline_monitor.h"

#include <algorithm>
#include <vector>

#include "core/scheduling/announcement.h"
#include "core/scheduling/request_outcomes.h"

namespace coltsfootfork {
namespace {

// Maximum time without progress for the request.
std::chrono::milliseconds InactivityTimeoutOf(const AgentState& state,
                                              const RunningRequest& request) {
  const InactivityTimeouts& timeouts = state.options.inactivity;
  if (request.kind == RequestKind::kPlainCall) return timeouts.plain_call;
  if (request.preempted) return timeouts.preempted;
  return request.in_prefill() ? timeouts.first_token : timeouts.token_gap;
}

void EndStalled(AgentState& state, Time now, Effects& effects) {
  std::vector<RequestId> stalled;
  for (const auto& [id, request] : state.running.all()) {
    if (now - request.last_progress >= InactivityTimeoutOf(state, request)) {
      stalled.push_back(id);
    }
  }
  for (const RequestId& id : stalled) {
    const RunningRequest& request = *state.running.Find(id);
    const bool generates = request.kind == RequestKind::kGeneration;
    const Reason reason =
        generates ? Reason::kStreamStalled : Reason::kOutcomeUnknown;
    Interrupt(state, request,
              {reason, generates && state.server.can_resume, generates},
              effects);
  }
}

void KeepEarliest(std::optional<Time>& earliest, Time candidate) {
  earliest = earliest ? std::min(*earliest, candidate) : candidate;
}

}  // namespace

void EnforceDeadlines(AgentState& state, Time now, Effects& effects) {
  for (const QueuedRequest& request : state.queue.RemoveExpired(now)) {
    RefuseQueued(state, request, Reason::kDeadlineUnreachable, effects);
  }
  const bool timed_out =
      now - state.server_last_seen >= state.options.inactivity.server;
  if (state.lifecycle.stage() != ServerStage::kUnavailable && timed_out) {
    HandleServerTimeout(state, effects);
    return;
  }
  EndStalled(state, now, effects);
}

std::optional<Time> NextMonitorDeadline(const AgentState& state) {
  std::optional<Time> earliest = state.queue.EarliestDeadline();
  if (state.lifecycle.stage() != ServerStage::kUnavailable) {
    KeepEarliest(earliest,
                 state.server_last_seen + state.options.inactivity.server);
  }
  for (const auto& [id, request] : state.running.all()) {
    KeepEarliest(earliest,
                 request.last_progress + InactivityTimeoutOf(state, request));
  }
  return earliest;
}

}  // namespace coltsfootfork

#include "core/routing/deadline_system.h"

#include <algorithm>
#include <chrono>

#include "core/routing/request_dispatch.h"
#include "core/routing/request_ending.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

void OnSlowCaller(EntryState* state, RequestRow* row, Time now) {
  CancelAtAgent(state, *row);
  EndWithProblem(state, row, Reason::kSlowCaller, milliseconds{0}, now);
}

void OnClaimOverdue(EntryState* state, RequestRow* row, Time now) {
  const milliseconds retry_after = state->options.retry.default_retry_after;
  if (!row->caller.disconnected) {
    EndWithProblem(state, row, Reason::kNoQuorum, retry_after, now);
    return;
  }
  // Given up for good: should the claim be committed, it is settled as not
  // run, which is what it is.
  row->claim = ClaimStage::kHeld;
  EndForDisconnectedCaller(state, row, now);
}

void OnNoServerInTime(EntryState* state, RequestRow* row, Time now) {
  EndWithProblem(state, row, Reason::kNoServer,
                 state->options.retry.default_retry_after, now);
}

// When a handed-over request must have shown something.
Time FirstSignBy(const RetryOptions& options, const RequestRow& row) {
  const milliseconds run = row.call.kind == RequestKind::kPlainCall
                               ? options.plain_call_timeout
                               : row.target.first_token + options.stall;
  return row.arrived_at + row.target.start_within + run;
}

// When the row's agent counts as silent.
Time AgentSilentAt(const EntryState& state, const RequestRow& row) {
  return state.servers.row(*row.server).reported_at +
         state.options.retry.agent_silence;
}

void OnNothingHeard(EntryState* state, RequestRow* row, Time now) {
  const Time first_sign_by = FirstSignBy(state->options.retry, *row);
  const Time silent_at = AgentSilentAt(*state, *row);
  if (now >= first_sign_by) {
    OnLostBeforeFirstToken(state, row, Reason::kStreamStalled, now);
  } else if (now >= silent_at) {
    OnLostBeforeFirstToken(state, row, Reason::kAgentLost, now);
  } else {
    state->requests.SetDeadline(row, std::min(first_sign_by, silent_at));
  }
}

void OnStreamSilent(EntryState* state, RequestRow* row, Time now) {
  const Time stalled_at = row->last_token_at + state->options.retry.stall;
  const Time silent_at = AgentSilentAt(*state, *row);
  if (now < stalled_at && now < silent_at) {
    state->requests.SetDeadline(row, std::min(stalled_at, silent_at));
    return;
  }
  Count(state, *row, Reason::kStreamStalled);
  RequestResume(state, row, now);
}

void OnResumeOverdue(EntryState* state, RequestRow* row, Time now) {
  if (state->servers.row(*row->server).link_up) {
    RequestResume(state, row, now);
    return;
  }
  EndWithProblem(state, row, Reason::kStreamIncomplete,
                 state->options.retry.default_retry_after, now);
}

void OnDue(EntryState* state, RequestRow* row, Time now) {
  if (row->caller.stall_deadline <= now) {
    OnSlowCaller(state, row, now);
    return;
  }
  switch (row->lifecycle.state()) {
    case StreamState::kClaiming:
      OnClaimOverdue(state, row, now);
      return;
    case StreamState::kWaiting:
      OnNoServerInTime(state, row, now);
      return;
    case StreamState::kDispatched:
      OnNothingHeard(state, row, now);
      return;
    case StreamState::kStreaming:
      OnStreamSilent(state, row, now);
      return;
    case StreamState::kResuming:
      OnResumeOverdue(state, row, now);
      return;
    case StreamState::kFinished:
      return;
  }
}

}  // namespace

void RunDeadlines(EntryState* state, Time now) {
  while (RequestRow* row = state->requests.PopDue(now)) {
    OnDue(state, row, now);
  }
}

}  // namespace coltsfootfork

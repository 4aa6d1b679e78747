#include "core/routing/request_deadlines.h"

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

void OnClaimTimeout(EntryState* state, RequestRow* row, Time now) {
  const milliseconds retry_after = state->options.retry.default_retry_after;
  if (!row->caller.disconnected) {
    EndWithProblem(state, row, Reason::kNoQuorum, retry_after, now);
    return;
  }
  // Stop waiting for the reply. If the claim was committed, it is settled as
  // not run, because the request has not been dispatched.
  row->claim = ClaimStage::kHeld;
  EndForDisconnectedCaller(state, row, now);
}

void OnServerWaitTimeout(EntryState* state, RequestRow* row, Time now) {
  EndWithProblem(state, row, Reason::kNoServer,
                 state->options.retry.default_retry_after, now);
}

// The time by which a dispatched request must have its first token or its
// response.
Time FirstResponseDeadline(const RetryOptions& options, const RequestRow& row) {
  const milliseconds run = row.call.kind == RequestKind::kPlainCall
                               ? options.plain_call_timeout
                               : row.target.first_token + options.stall;
  return row.arrived_at + row.target.start_within + run;
}

// The time at which the agent of the request's server counts as silent.
Time AgentSilenceDeadline(const EntryState& state, const RequestRow& row) {
  return state.servers.row(*row.server).reported_at +
         state.options.retry.agent_silence;
}

void OnFirstResponseDeadline(EntryState* state, RequestRow* row, Time now) {
  const Time first_response_deadline =
      FirstResponseDeadline(state->options.retry, *row);
  const Time silence_deadline = AgentSilenceDeadline(*state, *row);
  if (now >= first_response_deadline) {
    OnLostBeforeFirstToken(state, row, Reason::kStreamStalled, now);
  } else if (now >= silence_deadline) {
    OnLostBeforeFirstToken(state, row, Reason::kAgentLost, now);
  } else {
    state->requests.SetDeadline(
        row, std::min(first_response_deadline, silence_deadline));
  }
}

void OnTokenDeadline(EntryState* state, RequestRow* row, Time now) {
  const Time token_deadline = row->last_token_at + state->options.retry.stall;
  const Time silence_deadline = AgentSilenceDeadline(*state, *row);
  if (now < token_deadline && now < silence_deadline) {
    state->requests.SetDeadline(row,
                                std::min(token_deadline, silence_deadline));
    return;
  }
  Count(state, *row, Reason::kStreamStalled);
  RequestResume(state, row, now);
}

void OnResumeTimeout(EntryState* state, RequestRow* row, Time now) {
  if (state->servers.row(*row->server).link_up) {
    RequestResume(state, row, now);
    return;
  }
  EndWithProblem(state, row, Reason::kStreamIncomplete,
                 state->options.retry.default_retry_after, now);
}

void OnDeadline(EntryState* state, RequestRow* row, Time now) {
  if (row->caller.stall_deadline <= now) {
    OnSlowCaller(state, row, now);
    return;
  }
  switch (row->lifecycle.state()) {
    case StreamState::kClaiming:
      OnClaimTimeout(state, row, now);
      return;
    case StreamState::kWaiting:
      OnServerWaitTimeout(state, row, now);
      return;
    case StreamState::kDispatched:
      OnFirstResponseDeadline(state, row, now);
      return;
    case StreamState::kStreaming:
      OnTokenDeadline(state, row, now);
      return;
    case StreamState::kResuming:
      OnResumeTimeout(state, row, now);
      return;
    case StreamState::kFinished:
      return;
  }
}

}  // namespace

void RunDeadlines(EntryState* state, Time now) {
  while (RequestRow* row = state->requests.PopDue(now)) {
    OnDeadline(state, row, now);
  }
}

}  // namespace coltsfootfork

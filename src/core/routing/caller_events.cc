#include "core/routing/caller_events.h"

#include <algorithm>

#include "core/routing/request_ending.h"

namespace coltsfootfork {

void OnCallerDisconnected(EntryState* state, const CallerDisconnected& event,
                          Time now) {
  RequestRow* row = state->requests.Find(event.request);
  if (row == nullptr || row->caller.disconnected) return;
  Count(state, *row, Reason::kCallerDisconnected);
  // A retry with the same idempotency key can fetch the stored response;
  // cancelling would make the outcome unknown.
  if (row->at_most_once && row->claim == ClaimStage::kHeld &&
      row->server.has_value()) {
    MarkCallerDisconnected(state, row);
    return;
  }
  EndForDisconnectedCaller(state, row, now);
}

void OnCallerBacklog(EntryState* state, const CallerBacklog& backlog,
                     Time now) {
  RequestRow* row = state->requests.Find(backlog.request);
  if (row == nullptr || row->caller.disconnected) return;
  const RetryOptions& options = state->options.retry;
  CallerState& caller = row->caller;
  if (backlog.bytes > options.caller_buffer_bytes) {
    CancelAtAgent(state, *row);
    EndWithProblem(state, row, Reason::kSlowCaller,
                   std::chrono::milliseconds{0}, now);
    return;
  }
  const bool idle = caller.backlog_bytes == 0;
  const bool shrunk = backlog.bytes < caller.backlog_bytes;
  caller.backlog_bytes = backlog.bytes;
  if (backlog.bytes == 0) {
    state->requests.SetCallerStallDeadline(row, Time::max());
  } else if (idle || shrunk) {
    state->requests.SetCallerStallDeadline(row, now + options.caller_stall);
  }
}

}  // namespace coltsfootfork

#pragma once

#include <chrono>

#include "core/routing/entry_state.h"

// Dispatch of requests to backend servers: the first dispatch, retries before
// the first token, and resumes of streams. Each function here may end the
// request, after which its row must not be used.
namespace coltsfootfork {

// Why a request must leave its server before its first token.
struct DispatchFailure {
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
  // The request was refused; without another eligible server it is ended
  // instead of queued.
  bool refused = false;
};

// Dispatches the request, queues it until a server is eligible, or ends it.
void TryDispatch(EntryState* state, RequestRow* row, Time now);

// Retries the request on another server as a new generation, queues it, or ends
// it. Only for requests without a delivered token.
void RetryDispatch(EntryState* state, RequestRow* row,
                   const DispatchFailure& failure, Time now);

// Handles the loss of a live generation of which nothing has been delivered.
void OnLostBeforeFirstToken(EntryState* state, RequestRow* row, Reason reason,
                            Time now);

// Requests the live generation's server to resume at the first undelivered
// token, or ends the stream after too many resumes.
void RequestResume(EntryState* state, RequestRow* row, Time now);

// Dispatches queued requests to servers that have become eligible.
void DispatchQueued(EntryState* state, Time now);

}  // namespace coltsfootfork

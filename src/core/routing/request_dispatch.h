#pragma once

#include <chrono>

#include "core/routing/entry_state.h"

// How requests get to backend servers: at first, again before the first
// token, and as resumed streams. The row may be closed by each function here.
namespace coltsfootfork {

// Why a request must leave its server before its first token.
struct DispatchFailure {
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
  // The request was refused, so waiting for another server is no use.
  bool refused = false;
};

// Hands the request to a server, lets it wait for one, or ends it.
void TryDispatch(EntryState* state, RequestRow* row, Time now);

// Hands the request to another server as a new generation, or ends it. Only
// for requests without a delivered token.
void RetryDispatch(EntryState* state, RequestRow* row,
                   const DispatchFailure& failure, Time now);

// The live generation is lost and nothing of it has been delivered.
void OnLostBeforeFirstToken(EntryState* state, RequestRow* row, Reason reason,
                            Time now);

// Asks the live generation's server to go on from the first undelivered
// token, or ends the stream where it was asked too often.
void RequestResume(EntryState* state, RequestRow* row, Time now);

// Gives waiting requests the servers that are there by now.
void DispatchQueued(EntryState* state, Time now);

}  // namespace coltsfootfork

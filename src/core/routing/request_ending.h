#pragma once

#include <chrono>

#include "core/routing/entry_state.h"

// Ending of requests: final response to the caller, settling of the claim, and
// counters. Each function that ends a request removes its row, which must not
// be used afterwards, unless the reply to its claim is still outstanding.
namespace coltsfootfork {

// Refuses a request that has no row, and reports it as not run.
void RefuseNewRequest(EntryState* state, const CallerRequest& call, Rank rank,
                      Reason reason, std::chrono::milliseconds retry_after);

// Ends the request without a complete response. It is reported as not run only
// if every dispatch is proven not to have run.
void EndWithProblem(EntryState* state, RequestRow* row, Reason reason,
                    std::chrono::milliseconds retry_after, Time now);

// Ends a request whose idempotency key is claimed by an earlier request that
// may be running or may have run.
void EndAsDuplicate(EntryState* state, RequestRow* row, Reason reason,
                    std::chrono::milliseconds retry_after);

// Ends a generation whose tokens have all been delivered.
void EndWithCompletion(EntryState* state, RequestRow* row,
                       const RequestCompleted& completed);

// Ends a plain call with the backend server's response.
void EndWithResponse(EntryState* state, RequestRow* row, StoredResponse answer);

// Ends a retry with the response that is stored with its claim.
void EndWithStoredResponse(EntryState* state, RequestRow* row,
                           const StoredResponse& answer);

// Ends a request whose caller has disconnected, and cancels it at its backend
// server.
void EndForDisconnectedCaller(EntryState* state, RequestRow* row, Time now);

// Marks the caller as disconnected; the row stays open.
void MarkCallerDisconnected(EntryState* state, RequestRow* row);

// Increments the counter of a reason for the request.
void Count(EntryState* state, const RequestRow& row, Reason reason);

// Removes the request from its server's outstanding count in the server table.
void ReleaseServer(EntryState* state, RequestRow* row);

// Sends a cancel of the live generation, if any, to its agent.
void CancelAtAgent(EntryState* state, const RequestRow& row);

// Sends a message to the agent of a server if its link is up.
void SendToServer(EntryState* state, ServerIndex server, EntryToAgent message);

}  // namespace coltsfootfork

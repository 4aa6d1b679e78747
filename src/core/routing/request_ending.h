#pragma once

#include <chrono>

#include "core/routing/entry_state.h"

// How requests end: the caller's final answer, the claim and the counters.
// Each function that ends a request closes its row, which must not be used
// afterwards, unless the answer to its claim is still to come.
namespace coltsfootfork {

// Refuses a request that has no row. It has not run.
void RefuseNewRequest(EntryState* state, const CallerRequest& call, Rank rank,
                      Reason reason, std::chrono::milliseconds retry_after);

// Ends the request without a whole answer. It is reported as not run only
// where every hand-over was proved not to have run.
void EndWithProblem(EntryState* state, RequestRow* row, Reason reason,
                    std::chrono::milliseconds retry_after, Time now);

// As above, for a resend whose claim says that an earlier attempt may run or
// have run.
void EndAsDuplicate(EntryState* state, RequestRow* row, Reason reason,
                    std::chrono::milliseconds retry_after);

// Ends a generation whose tokens have all been delivered.
void EndWithCompletion(EntryState* state, RequestRow* row,
                       const RequestCompleted& completed);

// Ends a plain call with the backend server's answer.
void EndWithResponse(EntryState* state, RequestRow* row, StoredResponse answer);

// Ends a resend with the answer that its claim has kept.
void EndWithStoredResponse(EntryState* state, RequestRow* row,
                           const StoredResponse& answer);

// Ends a request whose caller takes nothing any more. What is at a backend
// server is cancelled.
void EndForDisconnectedCaller(EntryState* state, RequestRow* row, Time now);

// Notes that nobody takes the answer any more; the row stays open.
void MarkCallerDisconnected(EntryState* state, RequestRow* row);

// Moves the counter of a reason for the request.
void Count(EntryState* state, const RequestRow& row, Reason reason);

// Takes the request off its server, as far as this entry's books go.
void ReleaseServer(EntryState* state, RequestRow* row);

// Tells the agent to stop the live generation, where there is one.
void CancelAtAgent(EntryState* state, const RequestRow& row);

// Sends a message to the agent of a server, where its link is up.
void SendToServer(EntryState* state, ServerIndex server, EntryToAgent message);

}  // namespace coltsfootfork

#pragma once

#include "core/routing/entry_state.h"

// Admission of requests, up to the first dispatch.
namespace coltsfootfork {

// Refuses a caller's request, requests its claim, or dispatches it.
void OnCallerRequest(EntryState* state, const CallerRequest& call, Time now);

// Handles the control replicas' reply to a claim.
void OnClaimReplied(EntryState* state, const ClaimReplied& replied, Time now);

}  // namespace coltsfootfork

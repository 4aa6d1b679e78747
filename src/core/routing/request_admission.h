#pragma once

#include "core/routing/entry_state.h"

// What happens to a request before its first hand-over.
namespace coltsfootfork {

// Takes a caller's request: refuses it, asks for its claim, or hands it over.
void OnCallerRequest(EntryState* state, const CallerRequest& call, Time now);

// Takes the answer of the control replicas to a claim.
void OnClaimReplied(EntryState* state, const ClaimReplied& replied, Time now);

}  // namespace coltsfootfork

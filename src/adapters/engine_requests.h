#pragma once

#include <cstdint>
#include <string>

#include "adapters/http_call.h"
#include "coltsfootfork/core/messages/engine_messages.h"

// The HTTP requests of the engine protocol that an agent sends.
namespace coltsfootfork {

// Returns true if the strings of the dispatch contain no characters that would
// allow header injection in an HTTP request.
bool IsSafeForHttp(const Dispatch& dispatch);

// Starts a new run, or resumes a run if first_index is above zero.
HttpCallRequest MakeRunRequest(Dispatch dispatch, const std::string& host);
HttpCallRequest MakeCancelRequest(const EngineCancel& cancel,
                                  const std::string& host);
HttpCallRequest MakeOrderRequest(const EngineOrder& order,
                                 const std::string& host);

}  // namespace coltsfootfork

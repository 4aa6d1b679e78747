#pragma once

#include <cstdint>
#include <string>

#include "adapters/http_call.h"
#include "coltsfootfork/core/messages/engine_messages.h"

// The calls of the engine protocol that an agent makes.
namespace coltsfootfork {

// Whether the dispatch's texts may stand in an HTTP head.
bool IsSafeForHttp(const Dispatch& dispatch);

// A new run, or the resumption of one where first_index is above zero.
HttpCallRequest MakeRunRequest(Dispatch dispatch, const std::string& host);
HttpCallRequest MakeCancelRequest(const EngineCancel& cancel,
                                  const std::string& host);
HttpCallRequest MakeOrderRequest(const EngineOrder& order,
                                 const std::string& host);

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Returns the gateway's response to a call that it does not serve: a problem
// document with the reason and, if the call has not run, a Retry-After field.
HttpResponse RefusalResponse(
    int status, const std::string& reason,
    std::optional<std::chrono::milliseconds> retry_after);

}  // namespace coltsfootfork

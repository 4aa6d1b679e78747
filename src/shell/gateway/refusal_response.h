#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// The gateway's own answer to a call that it does not serve: a problem document
// with the reason's name and, where the call has not run, when to come back.
HttpResponse RefusalResponse(
    int status, const std::string& reason,
    std::optional<std::chrono::milliseconds> retry_after);

}  // namespace coltsfootfork

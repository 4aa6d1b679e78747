#pragma once

#include <string>
#include <vector>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// The request as it goes to a server: method, target and body unchanged, with
// these fields and the body's length.
std::string SerializeRequest(const HttpRequest& request,
                             const std::vector<HttpField>& fields);

}  // namespace coltsfootfork

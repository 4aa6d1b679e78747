#pragma once

#include <string>
#include <vector>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Serializes a request to a server: the method, target and body of `request`,
// with the given header fields and a Content-Length.
std::string SerializeRequest(const HttpRequest& request,
                             const std::vector<HttpField>& fields);

}  // namespace coltsfootfork

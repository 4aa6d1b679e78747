#pragma once

#include <string>
#include <vector>

#include "shell/net/http_server.h"

// Writes HTTP/1.1 messages. The message types of Boost.Beast are not used, as
// they throw an exception for a field of 64 KiB or more. Control characters in
// the value of a field, which could end it, are replaced by blanks (RFC 9110,
// section 5.5).
namespace coltsfootfork {

// Returns a request: the method, target and body of `request`, with the given
// header fields and, if a body may be expected, a Content-Length.
std::string SerializeRequest(const HttpRequest& request,
                             const std::vector<HttpField>& fields);

// Returns a whole response with its Content-Length. If the status allows no
// body, it has neither. `keep_alive` tells the peer whether the connection
// stays open.
std::string SerializeResponse(const HttpResponse& response, bool keep_alive);

// Returns the head of a chunked response.
std::string SerializeChunkedHead(const HttpResponse& head, bool keep_alive);

}  // namespace coltsfootfork

#pragma once

#include <optional>
#include <string>

#include "coltsfootfork/core/messages/entry_io.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// How a caller's answer is written.
enum class ResponseFormat { kCompletion, kChatCompletion, kPlain };

// A caller's HTTP request in typed form, before it is authenticated.
struct ParsedCallerRequest {
  CallerRequest request;
  ResponseFormat form = ResponseFormat::kPlain;
};

// What ReadCaller found: the request, or what is wrong with it.
struct CallerRequestResult {
  std::optional<ParsedCallerRequest> parsed;
  std::string problem;
};

// Reads POST /v1/completions, POST /v1/chat/completions and any method on
// /services/NAME/PATH. The request id and workspace are left to the caller.
CallerRequestResult ParseCallerRequest(const HttpRequest& http);

}  // namespace coltsfootfork

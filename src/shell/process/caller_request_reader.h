#pragma once

#include <optional>
#include <string>

#include "coltsfootfork/core/messages/entry_io.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// The format of the response to a caller.
enum class ResponseFormat { kCompletion, kChatCompletion, kPlain };

// A caller's HTTP request in typed form, before a workspace is assigned to it.
struct ParsedCallerRequest {
  CallerRequest request;
  ResponseFormat format = ResponseFormat::kPlain;
};

// The parsed request, or nullopt and a description of the problem.
struct CallerRequestResult {
  std::optional<ParsedCallerRequest> parsed;
  std::string problem;
};

// Parses POST /v1/completions, POST /v1/chat/completions and any method on
// /services/NAME/PATH. Does not set the request id and the workspace.
CallerRequestResult ParseCallerRequest(const HttpRequest& http);

}  // namespace coltsfootfork

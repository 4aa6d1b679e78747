#pragma once

#include <optional>
#include <string>

#include "coltsfootfork/core/messages/entry_io.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// How a caller's answer is written.
enum class AnswerForm { kCompletion, kChatCompletion, kPlain };

// A caller's HTTP request in typed form, before it is authenticated.
struct ReadCallerRequest {
  CallerRequest request;
  AnswerForm form = AnswerForm::kPlain;
};

// What ReadCaller found: the request, or what is wrong with it.
struct CallerReading {
  std::optional<ReadCallerRequest> read;
  std::string problem;
};

// Reads POST /v1/completions, POST /v1/chat/completions and any method on
// /services/NAME/PATH. The request id and workspace are left to the caller.
CallerReading ReadCaller(const HttpRequest& http);

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <string>

#include "coltsfootfork/core/types/reason.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// A request's final answer when it was not served.
struct Problem {
  Reason reason = Reason::kNone;
  // No backend server has run, or will run, anything of the request.
  bool not_run = true;
  // Zero when coming back makes no difference.
  std::chrono::milliseconds retry_after{0};
  std::string detail;
};

// The HTTP status that goes with a reason.
int ProblemStatus(Reason reason);

// The problem document (RFC 9457) as JSON text.
std::string ProblemText(const Problem& problem);

// The whole answer, with Retry-After where it applies.
HttpResponse ProblemResponse(const Problem& problem);

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <string>

#include "coltsfootfork/core/types/reason.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// The final response to a request that was refused or that failed.
struct Problem {
  Reason reason = Reason::kNone;
  // True if no backend server has run, or will run, any part of the request.
  bool not_run = true;
  // Zero if a retry would not help.
  std::chrono::milliseconds retry_after{0};
  std::string detail;
};

// Returns the HTTP status for a reason.
int ProblemStatus(Reason reason);

// Returns the problem document (RFC 9457) as JSON text.
std::string ProblemText(const Problem& problem);

// Returns the complete response, with Retry-After if the problem has one.
HttpResponse ProblemResponse(const Problem& problem);

}  // namespace coltsfootfork

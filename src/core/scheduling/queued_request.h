#pragma once

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A dispatch in the queue of the agent, not yet sent to the backend server.
struct QueuedRequest {
  ProcessId entry;
  Dispatch dispatch;
  Time arrived;
  // Deadline after which the request is refused as not run.
  Time start_by;
  // Expected number of output tokens.
  double expected_tokens = 0;
};

}  // namespace coltsfootfork

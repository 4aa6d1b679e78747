#pragma once

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A dispatch that waits at the agent and was not handed over.
struct QueuedRequest {
  ProcessId entry;
  Dispatch dispatch;
  Time arrived;
  // When it is refused as not run, if it has not started by then.
  Time start_by;
  // Output tokens that it is expected to make.
  double expected_tokens = 0;
};

}  // namespace coltsfootfork

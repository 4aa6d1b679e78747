#pragma once

#include <chrono>

#include "coltsfootfork/core/messages/control_messages.h"

namespace coltsfootfork {

// One entry of the replicated log.
struct ControlCommand {
  // The leader's wall clock as time since 1970. The state machine ignores a
  // time earlier than its own clock.
  std::chrono::milliseconds at{0};
  ControlRequest request;
};

}  // namespace coltsfootfork

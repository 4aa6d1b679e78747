#pragma once

#include <chrono>

#include "coltsfootfork/core/messages/control_messages.h"

namespace coltsfootfork {

// One entry of the replicated log.
struct ControlCommand {
  // The leader's wall clock since 1970. The state machine never lets its own
  // clock go back.
  std::chrono::milliseconds at{0};
  ControlRequest request;
};

}  // namespace coltsfootfork

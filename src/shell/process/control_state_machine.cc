#include "shell/process/control_state_machine.h"

#include <stdexcept>

#include "coltsfootfork/core/control_state/control_codec.h"

namespace coltsfootfork {

std::string ControlStateMachine::Apply(const std::string& command) {
  const auto decoded = DecodeControlCommand(command);
  // An unknown command of a later version leaves the state unchanged.
  return EncodeControlReply(decoded ? state_.Apply(*decoded) : ControlReply());
}

void ControlStateMachine::Restore(const std::string& snapshot) {
  if (!state_.Restore(snapshot)) {
    throw std::runtime_error("a snapshot's content is damaged");
  }
}

}  // namespace coltsfootfork

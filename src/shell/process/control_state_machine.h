#pragma once

#include <string>

#include "coltsfootfork/core/control/state_machine.h"
#include "coltsfootfork/core/control_state/control_state.h"

namespace coltsfootfork {

// The control state as the replicated log drives it: commands, replies and
// snapshots as bytes.
class ControlStateMachine : public StateMachine {
 public:
  std::string Apply(const std::string& command) override;
  std::string Snapshot() const override { return state_.Snapshot(); }
  // Throws std::runtime_error when the bytes are damaged: a replica must not
  // go on with less than the group has accepted.
  void Restore(const std::string& snapshot) override;

  const ControlState& state() const { return state_; }

 private:
  ControlState state_;
};

}  // namespace coltsfootfork

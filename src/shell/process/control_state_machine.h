#pragma once

#include <string>

#include "coltsfootfork/core/control/state_machine.h"
#include "coltsfootfork/core/control_state/control_state.h"

namespace coltsfootfork {

// Adapts the control state to the replicated log, which handles commands,
// replies and snapshots as bytes.
class ControlStateMachine : public StateMachine {
 public:
  std::string Apply(const std::string& command) override;
  std::string Snapshot() const override { return state_.Snapshot(); }
  // Throws std::runtime_error if the bytes are damaged, since a replica must
  // not continue with less than the group has committed.
  void Restore(const std::string& snapshot) override;

  const ControlState& state() const { return state_; }

 private:
  ControlState state_;
};

}  // namespace coltsfootfork

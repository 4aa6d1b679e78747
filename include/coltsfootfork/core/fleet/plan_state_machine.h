#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coltsfootfork/core/control/state_machine.h"
#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

// The replicated routing plan. The highest version is in force. A command with
// a lower or equal version is accepted without effect, so that any process can
// safely retry a change.
class PlanStateMachine : public StateMachine {
 public:
  // `on_change` is called after each version comes into force.
  explicit PlanStateMachine(std::function<void()> on_change)
      : on_change_(std::move(on_change)) {}

  static std::string EncodeCommand(const PlanDocument& document);

  std::string Apply(const std::string& command) override;
  std::string Snapshot() const override;
  void Restore(const std::string& snapshot) override;

  // Version 0 before the first change.
  const PlanDocument& document() const { return document_; }

 private:
  // Replaces the plan if `bytes` hold a higher version.
  void InstallIfNewer(const std::string& bytes);

  std::function<void()> on_change_;
  PlanDocument document_;
};

}  // namespace coltsfootfork

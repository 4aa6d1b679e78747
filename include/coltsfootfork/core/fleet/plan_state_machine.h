#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coltsfootfork/core/control/state_machine.h"
#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

// The replicated routing plan. The highest version is in force: a lower or
// equal one is accepted and changes nothing, so that a change can be sent again
// by anyone at any time.
class PlanStateMachine : public StateMachine {
 public:
  // `on_change` hears of each version that comes into force.
  explicit PlanStateMachine(std::function<void()> on_change)
      : on_change_(std::move(on_change)) {}

  static std::string EncodeCommand(const PlanDocument& document);

  std::string Apply(const std::string& command) override;
  std::string Snapshot() const override;
  void Restore(const std::string& snapshot) override;

  // Version 0 before the first change.
  const PlanDocument& document() const { return document_; }

 private:
  void Take(const std::string& bytes);

  std::function<void()> on_change_;
  PlanDocument document_;
};

}  // namespace coltsfootfork

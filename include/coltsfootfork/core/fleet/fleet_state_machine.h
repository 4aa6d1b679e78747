#pragma once

#include <functional>
#include <string>

#include "coltsfootfork/core/control/state_machine.h"
#include "coltsfootfork/core/fleet/plan_state_machine.h"
#include "coltsfootfork/core/fleet/zone_evacuations.h"

namespace coltsfootfork {

// The state that control processes replicate: the routing plan and the
// evacuated zones. A snapshot of a fleet that never evacuated a zone is that of
// the plan alone, which earlier versions can read.
class FleetStateMachine : public StateMachine {
 public:
  struct Events {
    std::function<void()> on_plan;
    std::function<void()> on_evacuations;
  };

  explicit FleetStateMachine(Events events);

  static std::string EncodeCommand(const EvacuationOrder& order);
  // Decodes the reply to an evacuation order; kOutdated if it cannot be read.
  static EvacuationOutcome DecodeReply(const std::string& reply);

  std::string Apply(const std::string& command) override;
  std::string Snapshot() const override;
  void Restore(const std::string& snapshot) override;

  const PlanStateMachine& plan() const { return plan_; }
  const ZoneEvacuations& evacuations() const { return evacuations_; }

 private:
  Events events_;
  PlanStateMachine plan_;
  ZoneEvacuations evacuations_;
};

}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/fleet_state_machine.h"

#include <utility>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

FleetStateMachine::FleetStateMachine(Events events)
    : events_(std::move(events)), plan_(events_.on_plan) {}

std::string FleetStateMachine::EncodeCommand(const EvacuationOrder& order) {
  return EncodeFleetMessage(order);
}

EvacuationOutcome FleetStateMachine::DecodeReply(const std::string& reply) {
  const auto message = DecodeFleetMessage(reply);
  const auto* decoded =
      message ? std::get_if<EvacuationReply>(&*message) : nullptr;
  return decoded == nullptr ? EvacuationOutcome::kOutdated : decoded->outcome;
}

std::string FleetStateMachine::Apply(const std::string& command) {
  const auto message = DecodeFleetMessage(command);
  const auto* order =
      message ? std::get_if<EvacuationOrder>(&*message) : nullptr;
  if (order == nullptr) return plan_.Apply(command);
  const EvacuationOutcome outcome = evacuations_.Apply(*order);
  if (outcome == EvacuationOutcome::kApplied && events_.on_evacuations) {
    events_.on_evacuations();
  }
  return EncodeFleetMessage(EvacuationReply{outcome});
}

std::string FleetStateMachine::Snapshot() const {
  if (evacuations_.revision() == 0) return plan_.Snapshot();
  return EncodeFleetMessage(
      FleetSnapshot{plan_.document(), evacuations_.Changes()});
}

void FleetStateMachine::Restore(const std::string& snapshot) {
  const auto message = DecodeFleetMessage(snapshot);
  const auto* fleet = message ? std::get_if<FleetSnapshot>(&*message) : nullptr;
  if (fleet == nullptr) return plan_.Restore(snapshot);
  const std::uint64_t revision = evacuations_.revision();
  evacuations_.Restore(fleet->evacuations);
  if (evacuations_.revision() != revision && events_.on_evacuations) {
    events_.on_evacuations();
  }
  plan_.Restore(PlanStateMachine::EncodeCommand(fleet->plan));
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/plan_state_machine.h"

#include <utility>

namespace coltsfootfork {

std::string PlanStateMachine::EncodeCommand(const PlanDocument& document) {
  return EncodeFleetMessage(document);
}

std::string PlanStateMachine::Apply(const std::string& command) {
  InstallIfNewer(command);
  return {};
}

std::string PlanStateMachine::Snapshot() const {
  return EncodeCommand(document_);
}

void PlanStateMachine::Restore(const std::string& snapshot) {
  InstallIfNewer(snapshot);
}

void PlanStateMachine::InstallIfNewer(const std::string& bytes) {
  auto message = DecodeFleetMessage(bytes);
  // Only EncodeCommand writes commands, and a damaged one would already have
  // failed the log's checksum.
  if (!message) return;
  auto* document = std::get_if<PlanDocument>(&*message);
  if (document == nullptr || document->version <= document_.version) return;
  document_ = std::move(*document);
  if (on_change_) on_change_();
}

}  // namespace coltsfootfork

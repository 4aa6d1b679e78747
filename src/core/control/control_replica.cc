#include "coltsfootfork/core/control/control_replica.h"

#include <chrono>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr Duration kVoterChangeInterval = std::chrono::seconds(1);

}  // namespace

ControlReplica::ControlReplica(Replica replica, StateMachine& machine,
                               const VoterPlannerOptions& planner)
    : replica_(std::move(replica)), machine_(machine), planner_(planner) {}

ControlReplica::Effects ControlReplica::Propose(ProposalId proposal,
                                                std::string command, Time now) {
  return Handle(coltsfootfork::Propose{proposal, std::move(command)}, now);
}

ControlReplica::Effects ControlReplica::Handle(const ReplicaInput& input,
                                               Time now) {
  Effects out;
  HandleEffects(replica_.Handle(input, now), now, out);
  return out;
}

ControlReplica::Effects ControlReplica::Tick(Time now) {
  Effects out;
  HandleEffects(replica_.Tick(now), now, out);
  ProposeVoterChange(now, out);
  return out;
}

void ControlReplica::HandleEffects(std::vector<ReplicaEffect> effects, Time now,
                                   Effects& out) {
  for (ReplicaEffect& effect : effects) {
    std::visit(
        [&](auto& effect_value) { On(std::move(effect_value), now, out); },
        effect);
  }
}

void ControlReplica::On(SendReplicaMessage send, Time /*now*/, Effects& out) {
  out.emplace_back(std::move(send));
}

void ControlReplica::On(Persist persist, Time /*now*/, Effects& out) {
  out.emplace_back(std::move(persist));
}

void ControlReplica::On(const ApplyCommand& apply, Time /*now*/,
                        Effects& /*out*/) {
  last_reply_ = machine_.Apply(apply.command);
}

void ControlReplica::On(const ApplySnapshot& apply, Time /*now*/,
                        Effects& /*out*/) {
  machine_.Restore(apply.bytes);
}

void ControlReplica::On(const ProposalDone& done, Time /*now*/, Effects& out) {
  CommandCompleted answered{done.proposal, done.outcome, {}};
  if (done.outcome == ProposalOutcome::kCommitted) answered.reply = last_reply_;
  out.emplace_back(std::move(answered));
}

void ControlReplica::On(const VoterChangeDone& /*done*/, Time /*now*/,
                        Effects& /*out*/) {
  changing_voters_ = false;
}

void ControlReplica::On(const TakeSnapshot& take, Time now, Effects& out) {
  // Exactly the commands up to the index have been applied at this point.
  const SnapshotTaken taken{take.index, machine_.Snapshot()};
  HandleEffects(replica_.Handle(taken, now), now, out);
}

void ControlReplica::On(LogEvent event, Time /*now*/, Effects& out) {
  out.emplace_back(std::move(event));
}

void ControlReplica::ProposeVoterChange(Time now, Effects& out) {
  if (changing_voters_ || now < next_voter_change_ ||
      !replica_.HoldsLease(now)) {
    return;
  }
  next_voter_change_ = now + kVoterChangeInterval;
  const auto change =
      planner_.Plan(replica_.Health(now), replica_.JoinRequests(now),
                    replica_.commit_index(), now);
  if (!change) return;
  changing_voters_ = true;
  HandleEffects(replica_.Handle(*change, now), now, out);
}

}  // namespace coltsfootfork

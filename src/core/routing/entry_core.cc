#include "coltsfootfork/core/routing/entry_core.h"

#include <utility>
#include <variant>

#include "core/routing/agent_events.h"
#include "core/routing/caller_events.h"
#include "core/routing/entry_state.h"
#include "core/routing/request_admission.h"
#include "core/routing/request_deadlines.h"
#include "core/routing/request_dispatch.h"
#include "core/routing/zone_map.h"

namespace coltsfootfork {
namespace {

// Calls the handler of each kind of input.
class InputVisitor {
 public:
  InputVisitor(EntryState* state, Time now) : state_(state), now_(now) {}

  void operator()(const CallerRequest& call) const {
    OnCallerRequest(state_, call, now_);
  }
  void operator()(const CallerDisconnected& event) const {
    OnCallerDisconnected(state_, event, now_);
  }
  void operator()(const CallerBacklog& backlog) const {
    OnCallerBacklog(state_, backlog, now_);
  }
  void operator()(const AgentMessage& message) const {
    OnAgentMessage(state_, message, now_);
  }
  void operator()(const AgentConnected& up) const {
    OnAgentConnected(state_, up.agent, now_);
  }
  void operator()(const AgentDisconnected& down) const {
    OnAgentDisconnected(state_, down.agent, now_);
  }
  void operator()(const DirectoryChanged& changed) const {
    for (const ServerIndex removed :
         state_->servers.ApplyDirectory(changed.agents)) {
      state_->hints.Forget(removed);
    }
    DispatchQueued(state_, now_);
  }
  void operator()(const ConfigurationInForce& in_force) const {
    state_->rules.emplace(in_force.configuration);
    state_->chooser.SetZones(ZoneMap(
        state_->options.zone, state_->options.choice, *in_force.configuration));
  }
  void operator()(const ClaimReplied& replied) const {
    OnClaimReplied(state_, replied, now_);
  }
  void operator()(const StopRequested& /*stop*/) const {
    state_->stopping = true;
  }
  void operator()(const LimitSharesGranted& granted) const {
    state_->shares.Grant(granted.shares);
  }

 private:
  EntryState* state_;
  Time now_;
};

}  // namespace

EntryCore::EntryCore(EntryOptions options, std::uint64_t seed)
    : state_(std::make_unique<EntryState>(std::move(options), seed)) {}
EntryCore::~EntryCore() = default;
EntryCore::EntryCore(EntryCore&& other) noexcept = default;
EntryCore& EntryCore::operator=(EntryCore&& other) noexcept = default;

std::vector<EntryEffect> EntryCore::Handle(const EntryInput& input, Time now) {
  std::visit(InputVisitor(state_.get(), now), input);
  return std::exchange(state_->effects, {});
}

std::vector<EntryEffect> EntryCore::Tick(Time now) {
  RunDeadlines(state_.get(), now);
  return std::exchange(state_->effects, {});
}

std::optional<Time> EntryCore::NextDeadline() const {
  return state_->requests.NextDue();
}

bool EntryCore::Drained() const {
  return state_->stopping && state_->requests.size() == 0;
}

std::vector<WorkspaceDemand> EntryCore::Demand(Time now) const {
  return state_->shares.Demand(now);
}

std::size_t EntryCore::open_requests() const { return state_->requests.size(); }

}  // namespace coltsfootfork

#include "coltsfootfork/core/scheduling/agent_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/deadline_monitor.h"
#include "core/scheduling/effects.h"
#include "core/scheduling/engine_events.h"
#include "core/scheduling/entry_events.h"
#include "core/scheduling/reporter.h"
#include "core/scheduling/request_outcomes.h"
#include "core/scheduling/starter.h"

namespace coltsfootfork {
namespace {

// An urgent request that waits longer than the target time to first token
// divided by this number increases the urgent headroom.
constexpr int kSignificantWaitDivisor = 8;

// Passes each input to its handler.
class InputVisitor {
 public:
  InputVisitor(AgentState& state, Time now, Effects& effects)
      : state_(state), now_(now), effects_(effects) {}

  void operator()(const EntryMessage& input) {
    entry_ = &input.entry;
    std::visit(*this, input.message);
  }
  void operator()(const Dispatch& dispatch) {
    HandleDispatch(state_, *entry_, dispatch, now_, effects_);
  }
  void operator()(const CancelRequest& cancel) {
    HandleCancel(state_, cancel, effects_);
  }
  void operator()(const EntryConnected& input) {
    state_.entries.insert(input.entry);
    SendReport(state_, input.entry, effects_);
  }
  void operator()(const EntryDisconnected& input) {
    HandleEntryDisconnected(state_, input.entry, effects_);
  }
  void operator()(const EngineMessage& input) {
    HandleEngineMessage(state_, input.message, now_, effects_);
  }
  void operator()(const FencingTokenFloor& input) {
    state_.fences.RaiseFloor(input.floor);
  }
  void operator()(const ControlOrder& input) { ForwardOrder(input.order); }
  void operator()(const ConfigurationInForce& input) {
    ApplyConfiguration(input.configuration);
  }
  void operator()(const StopRequested& /*input*/) {
    state_.stopping = true;
    RefuseAllQueued(state_, Reason::kStopping, effects_);
  }

 private:
  void ForwardOrder(const EngineOrder& order);
  void ApplyConfiguration(std::shared_ptr<const Configuration> configuration);

  AgentState& state_;
  Time now_;
  Effects& effects_;
  const ProcessId* entry_ = nullptr;
};

void InputVisitor::ForwardOrder(const EngineOrder& order) {
  const OrderVerdict verdict = state_.fences.Check(order);
  if (verdict.valid) {
    effects_.ToEngine(order);
  } else {
    effects_.SettleOrder({order.fence, false, verdict.problem});
  }
}

void InputVisitor::ApplyConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  state_.configuration = std::move(configuration);
  if (state_.configuration == nullptr) return;
  const Rules& rules = state_.configuration->rules;
  state_.queue.SetFloor(rules.deferrable_floor);
  state_.limiter.SetLimits(*state_.configuration);
  for (const Rank rank : {Rank::kUrgent, Rank::kDeferrable}) {
    state_.admission.batch().SetTarget(
        rank, rules.targets[RankIndex(rank)].token_gap);
  }
  state_.admission.headroom().SetSignificantWait(
      Duration(rules.targets[RankIndex(Rank::kUrgent)].first_token) /
      kSignificantWaitDivisor);
  state_.weights.clear();
  for (const Workspace& workspace : state_.configuration->workspaces) {
    state_.weights[workspace.id] = workspace.weight;
  }
}

// Runs after each input and tick.
void StartAndReport(AgentState& state, Time now, Effects& effects) {
  if (state.may_start) StartQueued(state, now, effects);
  state.capacity.Observe(!state.queue.empty(), now);
  SendDueReports(state, now, effects);
}

}  // namespace

AgentCore::AgentCore(AgentOptions options, std::uint64_t seed)
    : state_(std::make_unique<AgentState>(std::move(options), seed)) {}
AgentCore::~AgentCore() = default;
AgentCore::AgentCore(AgentCore&&) noexcept = default;
AgentCore& AgentCore::operator=(AgentCore&&) noexcept = default;

std::vector<AgentEffect> AgentCore::Handle(const AgentInput& input, Time now) {
  Effects effects;
  state_->may_start = true;
  std::visit(InputVisitor(*state_, now, effects), input);
  StartAndReport(*state_, now, effects);
  return effects.Take();
}

std::vector<AgentEffect> AgentCore::Tick(Time now) {
  Effects effects;
  state_->may_start = true;
  EnforceDeadlines(*state_, now, effects);
  state_->admission.Observe(state_->running.size(), now);
  StartAndReport(*state_, now, effects);
  return effects.Take();
}

std::optional<Time> AgentCore::NextDeadline() const {
  const std::optional<Time> deadline = NextMonitorDeadline(*state_);
  const std::optional<Time> report = NextReportTime(*state_);
  if (!deadline) return report;
  return report ? std::min(*deadline, *report) : deadline;
}

bool AgentCore::Drained() const {
  return state_->queue.empty() && state_->running.size() == 0;
}

}  // namespace coltsfootfork

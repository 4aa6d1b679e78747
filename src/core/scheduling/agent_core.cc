#include "coltsfootfork/core/scheduling/agent_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"
#include "core/scheduling/endings.h"
#include "core/scheduling/engine_events.h"
#include "core/scheduling/intake.h"
#include "core/scheduling/reporter.h"
#include "core/scheduling/starter.h"
#include "core/scheduling/watcher.h"

namespace coltsfootfork {
namespace {

// A wait of urgent work for its start beyond this part of the promised time to
// its first token calls for headroom.
constexpr int kNoticedShareOfFirstToken = 8;

// Hands each kind of input to its system.
class Inputs {
 public:
  Inputs(AgentState& state, Time now, Effects& effects)
      : state_(state), now_(now), effects_(effects) {}

  void operator()(const EntryMessage& input) {
    entry_ = &input.entry;
    std::visit(*this, input.message);
  }
  void operator()(const Dispatch& dispatch) {
    TakeDispatch(state_, *entry_, dispatch, now_, effects_);
  }
  void operator()(const CancelRequest& cancel) {
    TakeCancel(state_, cancel, effects_);
  }
  void operator()(const EntryConnected& input) {
    state_.entries.insert(input.entry);
    ReportTo(state_, input.entry, effects_);
  }
  void operator()(const EntryDisconnected& input) {
    TakeEntryDisconnected(state_, input.entry, effects_);
  }
  void operator()(const EngineMessage& input) {
    TakeEngineMessage(state_, input.message, now_, effects_);
  }
  void operator()(const FencingTokenFloor& input) {
    state_.fences.LearnFloor(input.floor);
  }
  void operator()(const ControlOrder& input) { PassOrder(input.order); }
  void operator()(const ConfigurationInForce& input) {
    TakeConfiguration(input.configuration);
  }
  void operator()(const StopRequested& /*input*/) {
    state_.stopping = true;
    RefuseAllWaiting(state_, Reason::kStopping, effects_);
  }

 private:
  void PassOrder(const EngineOrder& order);
  void TakeConfiguration(std::shared_ptr<const Configuration> configuration);

  AgentState& state_;
  Time now_;
  Effects& effects_;
  const ProcessId* entry_ = nullptr;
};

void Inputs::PassOrder(const EngineOrder& order) {
  const OrderVerdict verdict = state_.fences.Check(order);
  if (verdict.pass) {
    effects_.ToEngine(order);
  } else {
    effects_.Settle({order.fence, false, verdict.problem});
  }
}

void Inputs::TakeConfiguration(
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
  state_.admission.headroom().SetNoticedWait(
      Duration(rules.targets[RankIndex(Rank::kUrgent)].first_token) /
      kNoticedShareOfFirstToken);
  state_.weights.clear();
  for (const Workspace& workspace : state_.configuration->workspaces) {
    state_.weights[workspace.id] = workspace.weight;
  }
}

// What follows from any change.
void Settle(AgentState& state, Time now, Effects& effects) {
  if (state.start_due) StartWhatFits(state, now, effects);
  state.capacity.Observe(!state.queue.empty(), now);
  Report(state, now, effects);
}

}  // namespace

AgentCore::AgentCore(AgentOptions options, std::uint64_t seed)
    : state_(std::make_unique<AgentState>(std::move(options), seed)) {}
AgentCore::~AgentCore() = default;
AgentCore::AgentCore(AgentCore&&) noexcept = default;
AgentCore& AgentCore::operator=(AgentCore&&) noexcept = default;

std::vector<AgentEffect> AgentCore::Handle(const AgentInput& input, Time now) {
  Effects effects;
  state_->start_due = true;
  std::visit(Inputs(*state_, now, effects), input);
  Settle(*state_, now, effects);
  return effects.Take();
}

std::vector<AgentEffect> AgentCore::Tick(Time now) {
  Effects effects;
  state_->start_due = true;
  Watch(*state_, now, effects);
  state_->admission.Observe(state_->running.size(), now);
  Settle(*state_, now, effects);
  return effects.Take();
}

std::optional<Time> AgentCore::NextDeadline() const {
  const std::optional<Time> watch = NextWatch(*state_);
  const std::optional<Time> report = NextReport(*state_);
  if (!watch) return report;
  return report ? std::min(*watch, *report) : watch;
}

bool AgentCore::Drained() const {
  return state_->queue.empty() && state_->running.size() == 0;
}

}  // namespace coltsfootfork

#include "scheduling/simulation.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

#include "coltsfootfork/core/scheduling/agent_core.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kTick{10};
constexpr std::chrono::milliseconds kHeartbeat{500};

struct Progress {
  const Arrival* arrival = nullptr;
  bool counted = false;
  bool has_token = false;
  Time last_token;
};

AgentOptions OptionsFor(const SimulationSettings& settings) {
  AgentOptions options;
  options.policy = settings.policy;
  return options;
}

class Simulation {
 public:
  explicit Simulation(const SimulationSettings& settings)
      : settings_(settings),
        arrivals_(MakeArrivals(settings.streams, settings.seed)),
        agent_(OptionsFor(settings), settings.seed),
        engine_(settings.engine, [this](const RequestId& request) {
          return progress_.at(request).arrival->output_tokens;
        }) {}

  RunRecord Run();

 private:
  void Start();
  void Announce();
  Time NextEvent() const;
  void Arrive();
  void TickAgent();
  void StepEngine();
  void Give(const AgentInput& input) { Follow(agent_.Handle(input, now_)); }
  void Follow(const std::vector<AgentEffect>& effects);
  void AtEntry(const AgentToEntry& message);
  void AtEngine(const AgentToEngine& message);
  void OnToken(const RequestId& request);
  void ToAgent(std::vector<EngineToAgent> messages);
  bool Measured(Time at) const { return at >= Time(settings_.warm_up); }

  template <typename Change>
  void ForGroups(const Dispatch& dispatch, Change change) {
    change(record_.ranks.at(RankIndex(dispatch.rank)));
    change(record_.workspaces[dispatch.workspace.value()]);
  }

  const SimulationSettings& settings_;
  std::vector<Arrival> arrivals_;
  std::size_t next_arrival_ = 0;
  std::unordered_map<RequestId, Progress> progress_;
  AgentCore agent_;
  VirtualEngine engine_;
  RunRecord record_;
  Time now_;
  Time next_tick_;
  Time next_heartbeat_;
};

void Simulation::Start() {
  const auto configuration = std::make_shared<Configuration>();
  configuration->rules = settings_.rules;
  std::set<std::string> names;
  for (const Stream& stream : settings_.streams) {
    if (!names.insert(stream.workspace).second) continue;
    Workspace workspace;
    workspace.id = WorkspaceId(stream.workspace);
    configuration->workspaces.push_back(workspace);
  }
  Give(ConfigurationInForce{configuration});
  Give(EntryConnected{ProcessId("entry")});
}

void Simulation::Announce() {
  EngineAnnouncement announced;
  announced.server = ServerId("engine");
  announced.incarnation = 1;
  announced.services = {ServiceId("model")};
  announced.memory_tokens = settings_.engine.memory_tokens;
  announced.max_batch = settings_.engine.max_batch;
  announced.can_resume = true;
  next_heartbeat_ = now_ + kHeartbeat;
  Give(EngineMessage{announced});
}

Time Simulation::NextEvent() const {
  Time next = std::min(next_tick_, next_heartbeat_);
  if (next_arrival_ < arrivals_.size()) {
    next = std::min(next, arrivals_[next_arrival_].at);
  }
  if (engine_.in_step()) next = std::min(next, engine_.step_end());
  return next;
}

void Simulation::Arrive() {
  const Arrival& arrival = arrivals_[next_arrival_++];
  Progress& progress = progress_[arrival.dispatch.request];
  progress.arrival = &arrival;
  progress.counted = Measured(now_);
  if (progress.counted) {
    ForGroups(arrival.dispatch, [](GroupRecord& group) { ++group.offered; });
  }
  Give(EntryMessage{ProcessId("entry"), arrival.dispatch});
}

void Simulation::TickAgent() {
  next_tick_ = now_ + kTick;
  Follow(agent_.Tick(now_));
}

void Simulation::ToAgent(std::vector<EngineToAgent> messages) {
  for (EngineToAgent& message : messages) {
    Give(EngineMessage{std::move(message)});
  }
}

void Simulation::StepEngine() {
  if (engine_.in_step() && engine_.step_end() <= now_) {
    ToAgent(engine_.EndStep());
  }
  if (!engine_.in_step() && !engine_.idle()) {
    ToAgent(engine_.BeginStep(now_));
  }
}

void Simulation::Follow(const std::vector<AgentEffect>& effects) {
  for (const AgentEffect& effect : effects) {
    if (const auto* sent = std::get_if<SendToEntry>(&effect)) {
      AtEntry(sent->message);
    } else if (const auto* order = std::get_if<SendToEngine>(&effect)) {
      AtEngine(order->message);
    }
  }
}

void Simulation::AtEngine(const AgentToEngine& message) {
  if (const auto* submit = std::get_if<EngineSubmit>(&message)) {
    engine_.Submit(submit->dispatch, now_);
  } else if (const auto* cancel = std::get_if<EngineCancel>(&message)) {
    engine_.Cancel(cancel->request);
  }
}

void Simulation::OnToken(const RequestId& request) {
  Progress& progress = progress_.at(request);
  const Arrival& arrival = *progress.arrival;
  ForGroups(arrival.dispatch, [&](GroupRecord& group) {
    if (Measured(now_)) ++group.tokens;
    if (Measured(now_ - kSettling)) ++group.settled_tokens;
    if (!progress.counted) return;
    if (!progress.has_token) {
      group.first_token.Add(now_ - arrival.at);
      return;
    }
    const Duration gap = now_ - progress.last_token;
    group.gaps.Add(gap);
    if (gap > kStall) group.stalled += gap - kStall;
  });
  progress.has_token = true;
  progress.last_token = now_;
}

void Simulation::AtEntry(const AgentToEntry& message) {
  if (const auto* token = std::get_if<TokenFrame>(&message)) {
    OnToken(token->request);
    return;
  }
  if (const auto* done = std::get_if<RequestCompleted>(&message)) {
    const Progress& progress = progress_.at(done->request);
    if (!progress.counted) return;
    ForGroups(progress.arrival->dispatch,
              [](GroupRecord& group) { ++group.completed; });
  } else if (const auto* refused = std::get_if<RequestRefused>(&message)) {
    const Progress& progress = progress_.at(refused->request);
    if (!progress.counted) return;
    const bool late = now_ > progress.arrival->at;
    ForGroups(progress.arrival->dispatch, [late](GroupRecord& group) {
      ++group.refused;
      if (late) ++group.refused_late;
    });
  }
}

RunRecord Simulation::Run() {
  Start();
  Announce();
  std::uint64_t preempted_before = 0;
  std::uint64_t urgent_before = 0;
  while (now_ < Time(settings_.end)) {
    now_ = NextEvent();
    if (!Measured(now_)) {
      preempted_before = engine_.preemptions();
      urgent_before = engine_.urgent_preemptions();
    }
    if (now_ >= next_heartbeat_) Announce();
    if (next_arrival_ < arrivals_.size() &&
        arrivals_[next_arrival_].at <= now_) {
      Arrive();
    }
    if (now_ >= next_tick_) TickAgent();
    StepEngine();
  }
  record_.preemptions = engine_.preemptions() - preempted_before;
  record_.urgent_preemptions = engine_.urgent_preemptions() - urgent_before;
  record_.measured = settings_.end - settings_.warm_up;
  return std::move(record_);
}

}  // namespace

RunRecord Simulate(const SimulationSettings& settings) {
  return Simulation(settings).Run();
}

}  // namespace coltsfootfork

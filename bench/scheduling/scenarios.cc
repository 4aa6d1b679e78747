#include "scheduling/scenarios.h"

#include <utility>

namespace coltsfootfork {
namespace {

// Tokens a second that the engine model makes at the urgent gap.
constexpr double kCapacity = 2500;
constexpr std::chrono::seconds kStart{0};

Rules RulesFor(const Scenario& scenario) {
  Rules rules;
  rules.deferrable_floor = 0.1;
  rules.targets[RankIndex(Rank::kUrgent)].token_gap = scenario.urgent_gap;
  rules.targets[RankIndex(Rank::kDeferrable)].token_gap =
      std::chrono::milliseconds(60);
  return rules;
}

Stream Urgent(const std::string& workspace, double load,
              std::chrono::seconds from) {
  Stream stream;
  stream.workspace = workspace;
  stream.rank = Rank::kUrgent;
  stream.tokens_per_second = load * kCapacity;
  stream.prompt = {250, 0.6, 4096};
  stream.output = {80, 0.9, 4096};
  stream.start_within = std::chrono::milliseconds(1500);
  stream.from = from;
  stream.to = kScenarioEnd;
  return stream;
}

Stream Deferrable(const std::string& workspace, double load,
                  std::chrono::seconds from) {
  Stream stream;
  stream.workspace = workspace;
  stream.rank = Rank::kDeferrable;
  stream.tokens_per_second = load * kCapacity;
  stream.prompt = {350, 0.6, 4096};
  stream.output = {250, 1.2, 16384};
  stream.start_within = std::chrono::milliseconds(30000);
  stream.from = from;
  stream.to = kScenarioEnd;
  return stream;
}

// Two large and four small workspaces in each rank.
std::vector<Stream> Fleet(double urgent, double deferrable,
                          std::chrono::seconds from) {
  std::vector<Stream> streams;
  const double shares[] = {0.4, 0.4, 0.05, 0.05, 0.05, 0.05};
  int number = 0;
  for (const double share : shares) {
    const std::string suffix = std::to_string(number++);
    if (urgent > 0) {
      streams.push_back(Urgent("talk" + suffix, share * urgent, from));
    }
    if (deferrable > 0) {
      streams.push_back(Deferrable("lots" + suffix, share * deferrable, from));
    }
  }
  return streams;
}

std::vector<Stream> Join(std::vector<Stream> a, const std::vector<Stream>& b) {
  a.insert(a.end(), b.begin(), b.end());
  return a;
}

EngineModel RoomyEngine() {
  EngineModel engine;
  engine.memory_tokens *= 3;
  return engine;
}

}  // namespace

Scenario NormalLoad() {
  return {"normal load, 0.6x", {}, Fleet(0.3, 0.3, kStart)};
}

Scenario FullLoad() { return {"full load, 1.1x", {}, Fleet(0.4, 0.7, kStart)}; }

Scenario DeferrableFlood() {
  return {"flood of deferrable work, 10x",
          {},
          Join(Fleet(0.3, 0.3, kStart), Fleet(0, 10, kFloodStart))};
}

Scenario RoomyDeferrableFlood() {
  Scenario scenario = DeferrableFlood();
  scenario.name += ", three times the memory";
  scenario.engine = RoomyEngine();
  return scenario;
}

Scenario RoomyFloodWithoutPromise() {
  Scenario scenario = RoomyDeferrableFlood();
  scenario.name += ", gap of 60 ms promised";
  scenario.urgent_gap = std::chrono::milliseconds(60);
  return scenario;
}

Scenario UrgentFlood() {
  return {"flood of urgent work, 10x",
          {},
          Join(Fleet(0.3, 1.0, kStart), Fleet(10, 0, kFloodStart))};
}

Scenario SmallAlone() {
  Scenario scenario = NormalLoad();
  scenario.name = "small caller alone";
  scenario.streams.push_back(Urgent("small", 0.01, kStart));
  return scenario;
}

Scenario SmallBesideLarge() {
  Scenario scenario = SmallAlone();
  scenario.name = "small caller beside a large one at 10x";
  scenario.streams.push_back(Urgent("large", 10, kFloodStart));
  return scenario;
}

SchedulingPolicy BaselinePolicy() {
  return {FirstComeFirstServed{}, AdmitUntilFull{}};
}

SchedulingPolicy RankedPolicy() { return {RankedFair{}, AdmitUntilFull{}}; }

SchedulingPolicy AgentPolicy() { return SchedulingPolicy(); }

RunRecord RunScenario(const Scenario& scenario, const SchedulingPolicy& policy,
                      const std::vector<std::uint64_t>& seeds,
                      std::chrono::seconds end) {
  RunRecord all;
  for (const std::uint64_t seed : seeds) {
    SimulationSettings settings;
    settings.engine = scenario.engine;
    settings.policy = policy;
    settings.rules = RulesFor(scenario);
    settings.streams = scenario.streams;
    settings.seed = seed;
    settings.warm_up = kFloodStart;
    settings.end = end;
    all.Merge(Simulate(settings));
  }
  return all;
}

}  // namespace coltsfootfork

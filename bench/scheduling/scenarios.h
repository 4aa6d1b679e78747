#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/simulation.h"

namespace coltsfootfork {

// A load on one engine that changes at kFloodStart and is measured from there.
struct Scenario {
  std::string name;
  EngineModel engine;
  std::vector<Stream> streams;
  // The longest gap between tokens that urgent work is promised.
  std::chrono::milliseconds urgent_gap{27};
};

inline constexpr std::chrono::seconds kFloodStart{60};
inline constexpr std::chrono::seconds kScenarioEnd{360};

Scenario NormalLoad();
Scenario FullLoad();
Scenario DeferrableFlood();
// The engine has so much memory that the gap between tokens bounds the batch.
Scenario RoomyDeferrableFlood();
// The same without a promise to urgent work that is stricter than the one to
// deferrable work.
Scenario RoomyFloodWithoutPromise();
Scenario UrgentFlood();
Scenario SmallAlone();
Scenario SmallBesideLarge();

// First come first served, handed over until the engine is full.
SchedulingPolicy BaselinePolicy();
// Ranked and fair, handed over until the engine is full.
SchedulingPolicy RankedPolicy();
// What the agent does when nothing else is asked for.
SchedulingPolicy AgentPolicy();

// Runs the scenario once with each seed and pools what was measured.
RunRecord RunScenario(const Scenario& scenario, const SchedulingPolicy& policy,
                      const std::vector<std::uint64_t>& seeds,
                      std::chrono::seconds end = kScenarioEnd);

}  // namespace coltsfootfork

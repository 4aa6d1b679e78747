#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/scheduling/agent_options.h"
#include "scheduling/records.h"
#include "scheduling/virtual_engine.h"
#include "scheduling/workload.h"

namespace coltsfootfork {

// One agent before one engine, in virtual time.
struct SimulationSettings {
  EngineModel engine;
  SchedulingPolicy policy;
  Rules rules;
  std::vector<Stream> streams;
  std::uint64_t seed = 1;
  // What happens before is not measured.
  std::chrono::seconds warm_up{60};
  std::chrono::seconds end{360};
};

RunRecord Simulate(const SimulationSettings& settings);

}  // namespace coltsfootfork

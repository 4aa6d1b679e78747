#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfootfork/core/scheduling/scheduling_policy.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// How many requests may wait at the agent.
struct QueueBounds {
  std::uint32_t per_rank = 4096;
  std::uint32_t per_workspace = 1024;
};

// How long the agent waits for a sign of life.
struct InactivityTimeouts {
  // From the backend server as a whole.
  std::chrono::milliseconds server{2000};
  // Between two tokens of a stream.
  std::chrono::milliseconds token_gap{3000};
  // From the hand-over to the first token.
  std::chrono::milliseconds first_token{20000};
  // From a preemption to the next token.
  std::chrono::milliseconds preempted{30000};
  // From the hand-over of a plain call to its answer.
  std::chrono::milliseconds plain_call{60000};
};

// How often reports go to the entries when no event forces one.
struct ReportIntervals {
  std::chrono::milliseconds busy{200};
  std::chrono::milliseconds idle{1000};
};

struct AgentOptions {
  ProcessId process;
  ZoneId zone;
  SchedulingPolicy policy;
  QueueBounds queue;
  InactivityTimeouts inactivity;
  ReportIntervals report;
  // This agent's share of the limits of a workspace, from 0 to 1. The entries
  // split the limits over the fleet; the agent's bound only catches what
  // passes them.
  double limit_share = 1.0;
};

}  // namespace coltsfootfork

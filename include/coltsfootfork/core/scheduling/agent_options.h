#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfootfork/core/scheduling/scheduling_policy.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// Maximum number of queued requests.
struct QueueBounds {
  std::uint32_t per_rank = 4096;
  std::uint32_t per_workspace = 1024;
};

// Longest times without progress before a server or request is given up.
struct InactivityTimeouts {
  // Between two messages of the backend server.
  std::chrono::milliseconds server{2000};
  // Between two tokens of a stream.
  std::chrono::milliseconds token_gap{3000};
  // From dispatch to the first token.
  std::chrono::milliseconds first_token{20000};
  // From a preemption to the next token.
  std::chrono::milliseconds preempted{30000};
  // From dispatch of a plain call to its response.
  std::chrono::milliseconds plain_call{60000};
};

// Intervals between periodic reports to the entries.
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
  // This agent's share of the limits of each workspace, from 0 to 1. The
  // entries enforce the limits across the fleet; the agent's limit is a
  // backstop.
  double limit_share = 1.0;
};

}  // namespace coltsfootfork

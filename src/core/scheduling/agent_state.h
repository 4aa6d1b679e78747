#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

#include "coltsfootfork/core/messages/agent_io.h"
#include "coltsfootfork/core/scheduling/agent_options.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/capacity_meter.h"
#include "core/scheduling/ended_attempts.h"
#include "core/scheduling/fence_guard.h"
#include "core/scheduling/length_predictor.h"
#include "core/scheduling/request_queue.h"
#include "core/scheduling/running_table.h"
#include "core/scheduling/server_lifecycle.h"
#include "core/scheduling/workspace_limiter.h"

namespace coltsfootfork {

// The state last reported to the entries, and its time.
struct ReportState {
  std::optional<Time> last_sent;
  bool serving = false;
  bool draining = false;
  // Forces a report regardless of the interval.
  bool due = false;
};

// State of the agent, shared by the functions of this folder.
struct AgentState {
  AgentState(AgentOptions given, std::uint64_t seed)
      : options(std::move(given)),
        random(seed),
        queue(options.policy.order, options.queue),
        admission(options.policy.admission),
        limiter(options.limit_share) {}

  AgentOptions options;
  std::mt19937_64 random;
  std::shared_ptr<const Configuration> configuration;
  std::unordered_map<WorkspaceId, double> weights;

  // Last announcement of the backend server and time of its last message.
  EngineAnnouncement server;
  Time server_last_seen;
  ServerLifecycle lifecycle;
  bool stopping = false;

  std::set<ProcessId> entries;
  RequestQueue queue;
  RunningTable running;
  // Dispatched attempts that may have run.
  EndedAttempts ended;
  // Attempts that were reported to their entries as not run.
  EndedAttempts refused;
  Admission admission;
  LengthPredictor lengths;
  WorkspaceLimiter limiter;
  CapacityMeter capacity;
  FenceGuard fences;
  ReportState report;
  // True when the current input may allow queued requests to start.
  bool may_start = false;
  // Average prefill time of the server per prompt token.
  std::chrono::duration<double> prefill_per_token{0};

  double WeightOf(const WorkspaceId& workspace) const {
    const auto found = weights.find(workspace);
    return found == weights.end() ? 1.0 : found->second;
  }
  bool Serving() const {
    return !stopping && lifecycle.stage() == ServerStage::kServing;
  }
};

}  // namespace coltsfootfork

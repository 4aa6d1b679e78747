#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"

// What operators ask of the gateway: which calls go to which services, under
// which limits, and for whom.
namespace coltsfootfork {

// The number of a routing plan. The highest is in force.
using PlanVersion = std::uint64_t;

enum class CallKind : std::uint8_t {
  kIdempotent = 0,
  // Runs at most once for each attempt of a caller.
  kNonIdempotent,
  // Answered by a series of events; runs at most once unless the route is
  // resumable.
  kStreaming,
};

struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

struct PlanRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  // The longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{0};
  // An answer within this time earns its full worth.
  std::chrono::milliseconds latency_goal{0};
  // The longest pause between two events of an answer in time; zero for none.
  std::chrono::milliseconds pause_goal{0};
  // 0 is the most urgent.
  std::uint32_t rank = 0;
  std::vector<WeightedService> services;
  // How many servers one attempt of a caller may be sent to.
  std::uint32_t max_attempts = 1;
  // Needs no key.
  bool is_public = false;
  bool resumable = false;

  // Whether a call may run more than once.
  bool IsSafeToRetry() const {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStreaming && resumable);
  }
};

// What a service's engines can do.
struct EngineProfile {
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;
  std::uint64_t bytes_per_token = 0;
  double link_megabits = 0;
  // Running requests can be moved to another engine.
  bool moves = false;
  // A copy of a running request can be kept on another engine.
  bool backups = false;
  // Output tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;
};

struct PlanService {
  ServiceId name;
  std::string health_path;
  // Connections that one server takes from all callers together.
  std::uint32_t max_connections = 0;
  // Set for model services.
  std::optional<EngineProfile> engine;
};

struct PlanLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 1U << 20U;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct PlanWorkspace {
  WorkspaceId name;
  std::vector<std::string> keys;
  // Decides before the route's rank.
  std::optional<std::uint32_t> rank;
};

struct RoutingPlan {
  PlanVersion version = 0;
  std::vector<PlanRoute> routes;
  std::vector<PlanService> services;
  PlanLimits limits;
  // Whether calls on routes that are not public need a key.
  bool needs_keys = false;
  std::vector<PlanWorkspace> workspaces;
};

// What makes a plan invalid: a route to an unknown service, two routes of one
// host and prefix, weights that add up to zero, a timeout of zero, a key of two
// workspaces. Places are JSON pointers into the document that was decoded.
Findings CheckRoutingPlan(const RoutingPlan& plan);

}  // namespace coltsfootfork

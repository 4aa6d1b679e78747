#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"

// The operators' configuration of the gateway: routes, services, limits and
// workspaces.
namespace coltsfootfork {

// Version number of a routing plan. The highest version is in force.
using PlanVersion = std::uint64_t;

enum class CallKind : std::uint8_t {
  kIdempotent = 0,
  // Runs at most once per request of a caller.
  kNonIdempotent,
  // The response is an event stream. Runs at most once unless the route is
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
  // Maximum duration of a call.
  std::chrono::milliseconds timeout{0};
  // A response within this time is on time.
  std::chrono::milliseconds latency_goal{0};
  // Maximum gap between two events of a stream that is on time; zero for no
  // limit.
  std::chrono::milliseconds pause_goal{0};
  // 0 is the most urgent.
  std::uint32_t rank = 0;
  std::vector<WeightedService> services;
  // Maximum number of attempts for one request of a caller.
  std::uint32_t max_attempts = 1;
  // No API key is required.
  bool is_public = false;
  bool resumable = false;
  // Regions in which calls may run; empty for all.
  std::vector<RegionId> permitted_regions;

  // Returns whether a call may run more than once.
  bool IsSafeToRetry() const {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStreaming && resumable);
  }
};

// Capacity and capabilities of each engine of a service.
struct EngineProfile {
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;
  std::uint64_t bytes_per_token = 0;
  double link_megabits = 0;
  // Supports migration of running calls to another engine.
  bool moves = false;
  // Supports KV checkpoints of running calls on another engine.
  bool backups = false;
  // Output tokens per event of a stream.
  std::uint32_t tokens_per_event = 1;
};

struct PlanService {
  ServiceId name;
  std::string health_path;
  // Maximum number of connections to one server, from all callers together.
  std::uint32_t max_connections = 0;
  // Requests a second, from all entries together, that a server takes while it
  // is cold after its start; zero for no limit.
  double cold_request_rate = 0;
  // How long servers stay cold after their start, for the configuration check;
  // zero if unknown. At run time each server reports it.
  std::chrono::milliseconds cold_period{0};
  // Set for services that run a model.
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
  // Takes precedence over the route's rank.
  std::optional<std::uint32_t> rank;
  // Regions in which calls may run, besides those of the route; empty for all.
  std::vector<RegionId> permitted_regions;
};

struct RoutingPlan {
  PlanVersion version = 0;
  std::vector<PlanRoute> routes;
  std::vector<PlanService> services;
  PlanLimits limits;
  // Whether calls on routes that are not public require an API key.
  bool needs_keys = false;
  std::vector<PlanWorkspace> workspaces;
};

// Validates a plan. Reports unknown services, duplicate routes of a host and
// prefix, malformed prefixes, weights with a sum of zero, timeouts of zero, and
// API keys of two workspaces. The place of a finding is a JSON pointer into the
// decoded document.
Findings CheckRoutingPlan(const RoutingPlan& plan);

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/rank.h"

// The validated, typed form of the operators' document: an inventory and rules.
namespace coltsfootfork {

struct AvailabilityZone {
  ZoneId id;
  std::string region;
};

struct Service {
  ServiceId id;
  RequestKind kind = RequestKind::kGeneration;
};

// A backend server that the operators expect. A server that announces other
// services or another availability zone produces a finding.
struct InventoryServer {
  ServerId id;
  ZoneId zone;
  std::vector<ServiceId> services;
};

// Zero means unlimited.
struct WorkspaceLimits {
  std::uint32_t requests_per_second = 0;
  std::uint32_t tokens_per_second = 0;
  std::uint32_t concurrent_streams = 0;
};

struct Workspace {
  WorkspaceId id;
  // SHA-256 of the bearer key in lower-case hexadecimal digits.
  std::string key_sha256;
  // Relative share of tokens among workspaces of the same rank.
  double weight = 1.0;
  WorkspaceLimits limits;
};

// Assigns a rank to matching requests; the first matching rule applies. An
// empty workspace or service matches all.
struct RankRule {
  Rank rank = Rank::kDeferrable;
  std::optional<WorkspaceId> workspace;
  std::optional<ServiceId> service;
};

// Matching calls run at most once. An empty method matches all.
struct NonIdempotentRule {
  ServiceId service;
  std::string method;
  std::string path_prefix;
};

// Latency targets of a rank.
struct RankTarget {
  std::chrono::milliseconds first_token{1800};
  std::chrono::milliseconds token_gap{27};
  // Requests that can't start within this time are refused as not run.
  std::chrono::milliseconds start_within{30000};
};

struct Rules {
  std::vector<RankRule> ranks;
  std::vector<NonIdempotentRule> non_idempotent;
  RankTarget targets[kRankCount];
  // Fraction of token capacity, from 0 to 1, that deferrable work keeps while
  // urgent work overloads the fleet.
  double deferrable_floor = 0.1;
  // How long an idempotency key stays claimed.
  std::chrono::seconds claim_retention{86400};
};

struct Configuration {
  Revision revision = 0;
  std::vector<AvailabilityZone> zones;
  std::vector<Service> services;
  std::vector<InventoryServer> servers;
  std::vector<Workspace> workspaces;
  Rules rules;
};

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/limit_messages.h"
#include "coltsfootfork/core/types/reason.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What of a request counts against its workspace's limits.
struct LimitedRequest {
  const WorkspaceId& workspace;
  RequestKind kind = RequestKind::kGeneration;
  std::uint32_t prompt_tokens = 0;
};

// kNone when the request is let through.
struct LimitRefusal {
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

// A rate with up to a second's worth saved up. It may be overdrawn by work
// whose size shows only afterwards.
class RateBucket {
 public:
  void Refill(double rate, Time now);
  void Consume(double amount) { available_ -= amount; }
  bool Has(double amount) const { return available_ >= amount; }
  // How long until the amount is there.
  std::chrono::milliseconds TimeUntil(double amount, double rate) const;

 private:
  bool initialized_ = false;
  double available_ = 0.0;
  Time refilled_at_;
};

// Holds each workspace to this entry's part of its limits.
class WorkspaceShares {
 public:
  explicit WorkspaceShares(double default_share)
      : default_share_(default_share) {}

  // Replaces all granted parts.
  void Grant(const std::vector<WorkspaceLimitShare>& shares);

  // Lets a request through and books it, or says which limit it would break.
  // Each request let through must be ended by OnEnded.
  LimitRefusal Admit(const LimitedRequest& request,
                     const WorkspaceLimits& limits, Time now);
  void OnToken(const WorkspaceId& workspace, Time now);
  void OnEnded(const WorkspaceId& workspace, RequestKind kind);

  // What was asked for in the last whole second, in order of workspace.
  std::vector<WorkspaceDemand> Demand(Time now) const;

 private:
  struct WorkspaceUsage {
    RateBucket requests;
    RateBucket tokens;
    std::uint32_t streams = 0;
    // The running second and the one before it.
    std::int64_t second = 0;
    LimitShare demand_this_second;
    LimitShare demand_last_second;
  };

  static void AdvanceSecond(WorkspaceUsage* usage, Time now);
  LimitRefusal CheckLimits(const LimitedRequest& request,
                           const WorkspaceUsage& usage,
                           const WorkspaceLimits& limits,
                           const LimitShare& share) const;
  LimitShare ShareOf(const WorkspaceId& workspace,
                     const WorkspaceLimits& limits) const;

  double default_share_;
  std::map<WorkspaceId, LimitShare> granted_;
  std::map<WorkspaceId, WorkspaceUsage> usage_;
};

}  // namespace coltsfootfork

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

// The properties of a request that count against its workspace's limits.
struct LimitedRequest {
  const WorkspaceId& workspace;
  RequestKind kind = RequestKind::kGeneration;
  std::uint32_t prompt_tokens = 0;
};

// Result of a limit check; the reason is kNone when the request is admitted.
struct LimitRefusal {
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

// Token bucket with a capacity of one second's rate. The level may become
// negative by work whose size is only known afterwards.
class RateBucket {
 public:
  void Refill(double rate, Time now);
  void Consume(double amount) { available_ -= amount; }
  bool Has(double amount) const { return available_ >= amount; }
  // Time until the amount is available.
  std::chrono::milliseconds TimeUntil(double amount, double rate) const;

 private:
  bool initialized_ = false;
  double available_ = 0.0;
  Time refilled_at_;
};

// Enforces this entry's share of each workspace's limits.
class WorkspaceShares {
 public:
  explicit WorkspaceShares(double default_share)
      : default_share_(default_share) {}

  // Replaces all granted shares.
  void Grant(const std::vector<WorkspaceLimitShare>& shares);

  // Admits and counts a request, or returns the limit that it would exceed.
  // OnEnded must be called for each admitted request.
  LimitRefusal Admit(const LimitedRequest& request,
                     const WorkspaceLimits& limits, Time now);
  void OnToken(const WorkspaceId& workspace, Time now);
  void OnEnded(const WorkspaceId& workspace, RequestKind kind);

  // The demand in the last whole second, admitted or not, sorted by workspace.
  std::vector<WorkspaceDemand> Demand(Time now) const;

 private:
  struct WorkspaceUsage {
    RateBucket requests;
    RateBucket tokens;
    std::uint32_t streams = 0;
    // The current second; demand is kept for it and for the one before.
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

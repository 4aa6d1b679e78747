#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/types/reason.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Token bucket with a capacity of one second of its rate. The level may become
// negative, since the tokens of a stream are known only once generated.
class TokenBucket {
 public:
  // The current level.
  double Level(Time now, double rate) const;
  void Consume(double amount, Time now, double rate);

 private:
  bool initialized_ = false;
  double level_ = 0;
  Time updated_;
};

// Result of the limit check of a new request.
struct LimitVerdict {
  // kNone when the request is within the limits.
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

// Enforces this agent's share of the limits of each workspace.
class WorkspaceLimiter {
 public:
  // `share` is this agent's part of each limit, from 0 to 1.
  explicit WorkspaceLimiter(double share) : share_(share) {}

  // Replaces the limits and keeps the recorded usage.
  void SetLimits(const Configuration& configuration);

  // Checks a new request and counts it if it is admitted.
  LimitVerdict Admit(const WorkspaceId& workspace, bool is_stream, Time now);
  // Counts a resumed request without a check.
  void AdmitResumed(const WorkspaceId& workspace, bool is_stream);
  void CountTokens(const WorkspaceId& workspace, double tokens, Time now);
  void ReleaseStream(const WorkspaceId& workspace);

 private:
  struct Usage {
    WorkspaceLimits limits;
    TokenBucket requests;
    TokenBucket tokens;
    std::uint32_t streams = 0;
  };

  double Rate(std::uint32_t limit) const { return share_ * limit; }

  double share_;
  std::unordered_map<WorkspaceId, Usage> usage_;
};

}  // namespace coltsfootfork

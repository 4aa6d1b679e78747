#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/types/reason.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Refills at a rate up to a second's worth. It may go into debt, since the
// tokens of a stream are known only when they are made.
class TokenBucket {
 public:
  // How much is there.
  double Level(Time now, double rate) const;
  void Consume(double amount, Time now, double rate);

 private:
  bool initialized_ = false;
  double level_ = 0;
  Time updated_;
};

// What the limiter says of a new request.
struct LimitVerdict {
  // kNone when the request may wait for its turn.
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

// This agent's share of the limits of each workspace.
class WorkspaceLimiter {
 public:
  // `share` is this agent's part of each limit, from 0 to 1.
  explicit WorkspaceLimiter(double share) : share_(share) {}

  // Takes over the limits, and keeps what the workspaces have used.
  void SetLimits(const Configuration& configuration);

  // Checks a new request; counts it unless refused.
  LimitVerdict Admit(const WorkspaceId& workspace, bool is_stream, Time now);
  // Counts a request that goes on with an earlier one, without a check.
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

#include "core/scheduling/workspace_limiter.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

// How long a workspace may save up unused rate, in seconds.
constexpr double kBurstSeconds = 1.0;
// What a workspace at its limit of streams is told to wait.
constexpr std::chrono::milliseconds kStreamRetry{1000};

std::chrono::milliseconds TimeToRefill(double missing, double rate) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(1000.0 * missing / rate)));
}

}  // namespace

double TokenBucket::Level(Time now, double rate) const {
  const double most = std::max(1.0, rate * kBurstSeconds);
  if (!used_) return most;
  const std::chrono::duration<double> since = now - at_;
  return std::min(most, level_ + since.count() * rate);
}

void TokenBucket::Take(double amount, Time now, double rate) {
  level_ = Level(now, rate) - amount;
  at_ = now;
  used_ = true;
}

void WorkspaceLimiter::SetLimits(const Configuration& configuration) {
  for (auto& [workspace, use] : uses_) use.limits = WorkspaceLimits();
  for (const Workspace& workspace : configuration.workspaces) {
    uses_[workspace.id].limits = workspace.limits;
  }
}

LimitVerdict WorkspaceLimiter::Admit(const WorkspaceId& workspace,
                                     bool is_stream, Time now) {
  Use& use = uses_[workspace];
  const double requests = Rate(use.limits.requests_per_second);
  const double tokens = Rate(use.limits.tokens_per_second);
  const double streams = std::ceil(Rate(use.limits.concurrent_streams));
  if (is_stream && streams > 0 && use.streams >= streams) {
    return {Reason::kWorkspaceStreamLimit, kStreamRetry};
  }
  if (tokens > 0 && use.tokens.Level(now, tokens) <= 0) {
    const double debt = 1 - use.tokens.Level(now, tokens);
    return {Reason::kWorkspaceTokenLimit, TimeToRefill(debt, tokens)};
  }
  if (requests > 0) {
    const double level = use.requests.Level(now, requests);
    if (level < 1) {
      return {Reason::kWorkspaceRequestLimit,
              TimeToRefill(1 - level, requests)};
    }
    use.requests.Take(1, now, requests);
  }
  if (is_stream) ++use.streams;
  return {};
}

void WorkspaceLimiter::Readmit(const WorkspaceId& workspace, bool is_stream) {
  if (is_stream) ++uses_[workspace].streams;
}

void WorkspaceLimiter::CountTokens(const WorkspaceId& workspace, double tokens,
                                   Time now) {
  Use& use = uses_[workspace];
  const double rate = Rate(use.limits.tokens_per_second);
  if (rate > 0) use.tokens.Take(tokens, now, rate);
}

void WorkspaceLimiter::EndStream(const WorkspaceId& workspace) {
  Use& use = uses_[workspace];
  if (use.streams > 0) --use.streams;
}

}  // namespace coltsfootfork

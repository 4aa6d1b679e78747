#include "core/scheduling/workspace_limiter.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

// Burst capacity in seconds of the rate.
constexpr double kBurstSeconds = 1.0;
// Retry delay for a workspace at its stream limit.
constexpr std::chrono::milliseconds kStreamRetryAfter{1000};

std::chrono::milliseconds TimeToRefill(double deficit, double rate) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(1000.0 * deficit / rate)));
}

}  // namespace

double TokenBucket::Level(Time now, double rate) const {
  const double capacity = std::max(1.0, rate * kBurstSeconds);
  if (!initialized_) return capacity;
  const std::chrono::duration<double> since = now - updated_;
  return std::min(capacity, level_ + since.count() * rate);
}

void TokenBucket::Consume(double amount, Time now, double rate) {
  level_ = Level(now, rate) - amount;
  updated_ = now;
  initialized_ = true;
}

void WorkspaceLimiter::SetLimits(const Configuration& configuration) {
  for (auto& [workspace, usage] : usage_) usage.limits = WorkspaceLimits();
  for (const Workspace& workspace : configuration.workspaces) {
    usage_[workspace.id].limits = workspace.limits;
  }
}

LimitVerdict WorkspaceLimiter::Admit(const WorkspaceId& workspace,
                                     bool is_stream, Time now) {
  Usage& usage = usage_[workspace];
  const double requests = Rate(usage.limits.requests_per_second);
  const double tokens = Rate(usage.limits.tokens_per_second);
  const double streams = std::ceil(Rate(usage.limits.concurrent_streams));
  if (is_stream && streams > 0 && usage.streams >= streams) {
    return {Reason::kWorkspaceStreamLimit, kStreamRetryAfter};
  }
  if (tokens > 0 && usage.tokens.Level(now, tokens) <= 0) {
    const double shortfall = 1 - usage.tokens.Level(now, tokens);
    return {Reason::kWorkspaceTokenLimit, TimeToRefill(shortfall, tokens)};
  }
  if (requests > 0) {
    const double level = usage.requests.Level(now, requests);
    if (level < 1) {
      return {Reason::kWorkspaceRequestLimit,
              TimeToRefill(1 - level, requests)};
    }
    usage.requests.Consume(1, now, requests);
  }
  if (is_stream) ++usage.streams;
  return {};
}

void WorkspaceLimiter::AdmitResumed(const WorkspaceId& workspace,
                                    bool is_stream) {
  if (is_stream) ++usage_[workspace].streams;
}

void WorkspaceLimiter::CountTokens(const WorkspaceId& workspace, double tokens,
                                   Time now) {
  Usage& usage = usage_[workspace];
  const double rate = Rate(usage.limits.tokens_per_second);
  if (rate > 0) usage.tokens.Consume(tokens, now, rate);
}

void WorkspaceLimiter::ReleaseStream(const WorkspaceId& workspace) {
  Usage& usage = usage_[workspace];
  if (usage.streams > 0) --usage.streams;
}

}  // namespace coltsfootfork

#include "core/routing/workspace_shares.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStreamRetryAfter{1000};
constexpr milliseconds kZeroRateRetryAfter{1000};

std::int64_t SecondOf(Time now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

std::uint32_t ScaleLimit(std::uint32_t limit, double share) {
  return static_cast<std::uint32_t>(std::floor(limit * share));
}

}  // namespace

void RateBucket::Refill(double rate, Time now) {
  // Without a rate the bucket is reset, so that a later rate starts full.
  if (rate <= 0.0) {
    initialized_ = false;
    available_ = 0.0;
    return;
  }
  if (!initialized_) {
    initialized_ = true;
    available_ = rate;
  } else {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    available_ = std::min(rate, available_ + rate * elapsed.count());
  }
  refilled_at_ = now;
}

milliseconds RateBucket::TimeUntil(double amount, double rate) const {
  if (rate <= 0.0) return kZeroRateRetryAfter;
  const std::chrono::duration<double> wait((amount - available_) / rate);
  return std::chrono::ceil<milliseconds>(wait);
}

void WorkspaceShares::Grant(const std::vector<WorkspaceLimitShare>& shares) {
  granted_.clear();
  for (const WorkspaceLimitShare& share : shares) {
    granted_[share.workspace] = share.share;
  }
}

LimitRefusal WorkspaceShares::Admit(const LimitedRequest& request,
                                    const WorkspaceLimits& limits, Time now) {
  WorkspaceUsage& usage = usage_[request.workspace];
  AdvanceSecond(&usage, now);
  const bool stream = request.kind == RequestKind::kGeneration;
  usage.demand_this_second.requests_per_second += 1;
  usage.demand_this_second.tokens_per_second += request.prompt_tokens;
  if (stream) usage.demand_this_second.concurrent_streams += 1;
  const LimitShare share = ShareOf(request.workspace, limits);
  usage.requests.Refill(share.requests_per_second, now);
  usage.tokens.Refill(share.tokens_per_second, now);
  const LimitRefusal refusal = CheckLimits(request, usage, limits, share);
  if (refusal.reason != Reason::kNone) return refusal;
  usage.requests.Consume(1.0);
  usage.tokens.Consume(request.prompt_tokens);
  if (stream) ++usage.streams;
  return refusal;
}

LimitRefusal WorkspaceShares::CheckLimits(const LimitedRequest& request,
                                          const WorkspaceUsage& usage,
                                          const WorkspaceLimits& limits,
                                          const LimitShare& share) const {
  if (limits.requests_per_second > 0 && !usage.requests.Has(1.0)) {
    return {Reason::kWorkspaceRequestLimit,
            usage.requests.TimeUntil(1.0, share.requests_per_second)};
  }
  if (request.kind == RequestKind::kPlainCall) return {};
  // The output length is unknown at admission, so output tokens are charged on
  // delivery; a workspace with a negative level is refused.
  if (limits.tokens_per_second > 0 && !usage.tokens.Has(1.0)) {
    return {Reason::kWorkspaceTokenLimit,
            usage.tokens.TimeUntil(1.0, share.tokens_per_second)};
  }
  if (limits.concurrent_streams > 0 &&
      usage.streams >= share.concurrent_streams) {
    return {Reason::kWorkspaceStreamLimit, kStreamRetryAfter};
  }
  return {};
}

void WorkspaceShares::OnToken(const WorkspaceId& workspace, Time now) {
  WorkspaceUsage& usage = usage_[workspace];
  AdvanceSecond(&usage, now);
  usage.demand_this_second.tokens_per_second += 1;
  usage.tokens.Consume(1.0);
}

void WorkspaceShares::OnEnded(const WorkspaceId& workspace, RequestKind kind) {
  if (kind == RequestKind::kGeneration) --usage_[workspace].streams;
}

std::vector<WorkspaceDemand> WorkspaceShares::Demand(Time now) const {
  std::vector<WorkspaceDemand> demand;
  for (const auto& [workspace, usage] : usage_) {
    WorkspaceUsage advanced = usage;
    AdvanceSecond(&advanced, now);
    LimitShare wanted = advanced.demand_last_second;
    wanted.concurrent_streams += advanced.streams;
    demand.push_back({workspace, wanted});
  }
  return demand;
}

void WorkspaceShares::AdvanceSecond(WorkspaceUsage* usage, Time now) {
  const std::int64_t second = SecondOf(now);
  if (second == usage->second) return;
  usage->demand_last_second =
      second == usage->second + 1 ? usage->demand_this_second : LimitShare();
  usage->demand_this_second = LimitShare();
  usage->second = second;
}

LimitShare WorkspaceShares::ShareOf(const WorkspaceId& workspace,
                                    const WorkspaceLimits& limits) const {
  const auto granted = granted_.find(workspace);
  if (granted != granted_.end()) return granted->second;
  return {ScaleLimit(limits.requests_per_second, default_share_),
          ScaleLimit(limits.tokens_per_second, default_share_),
          ScaleLimit(limits.concurrent_streams, default_share_)};
}

}  // namespace coltsfootfork

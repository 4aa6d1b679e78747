#include "core/routing/workspace_shares.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStreamRetryAfter{1000};
constexpr milliseconds kNothingGrantedRetryAfter{1000};

std::int64_t SecondOf(Time now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

std::uint32_t PartOf(std::uint32_t limit, double share) {
  return static_cast<std::uint32_t>(std::floor(limit * share));
}

}  // namespace

void RateBucket::Refill(double rate, Time now) {
  // Without a rate nothing is booked, so a later one starts afresh.
  if (rate <= 0.0) {
    started_ = false;
    level_ = 0.0;
    return;
  }
  if (!started_) {
    started_ = true;
    level_ = rate;
  } else {
    const std::chrono::duration<double> passed = now - refilled_at_;
    level_ = std::min(rate, level_ + rate * passed.count());
  }
  refilled_at_ = now;
}

milliseconds RateBucket::TimeUntil(double amount, double rate) const {
  if (rate <= 0.0) return kNothingGrantedRetryAfter;
  const std::chrono::duration<double> wait((amount - level_) / rate);
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
  Book& book = books_[request.workspace];
  TurnSecond(&book, now);
  const bool stream = request.kind == RequestKind::kGeneration;
  book.asked.requests_per_second += 1;
  book.asked.tokens_per_second += request.prompt_tokens;
  if (stream) book.asked.concurrent_streams += 1;
  const LimitShare share = ShareOf(request.workspace, limits);
  book.requests.Refill(share.requests_per_second, now);
  book.tokens.Refill(share.tokens_per_second, now);
  const LimitRefusal refusal = Check(request, book, limits, share);
  if (refusal.reason != Reason::kNone) return refusal;
  book.requests.Take(1.0);
  book.tokens.Take(request.prompt_tokens);
  if (stream) ++book.streams;
  return refusal;
}

LimitRefusal WorkspaceShares::Check(const LimitedRequest& request,
                                    const Book& book,
                                    const WorkspaceLimits& limits,
                                    const LimitShare& share) const {
  if (limits.requests_per_second > 0 && !book.requests.Has(1.0)) {
    return {Reason::kWorkspaceRequestLimit,
            book.requests.TimeUntil(1.0, share.requests_per_second)};
  }
  if (request.kind == RequestKind::kPlainCall) return {};
  // The output's length is unknown, so it is paid for as it comes; whoever is
  // overdrawn waits.
  if (limits.tokens_per_second > 0 && !book.tokens.Has(1.0)) {
    return {Reason::kWorkspaceTokenLimit,
            book.tokens.TimeUntil(1.0, share.tokens_per_second)};
  }
  if (limits.concurrent_streams > 0 &&
      book.streams >= share.concurrent_streams) {
    return {Reason::kWorkspaceStreamLimit, kStreamRetryAfter};
  }
  return {};
}

void WorkspaceShares::OnToken(const WorkspaceId& workspace, Time now) {
  Book& book = books_[workspace];
  TurnSecond(&book, now);
  book.asked.tokens_per_second += 1;
  book.tokens.Take(1.0);
}

void WorkspaceShares::OnEnded(const WorkspaceId& workspace, RequestKind kind) {
  if (kind == RequestKind::kGeneration) --books_[workspace].streams;
}

std::vector<WorkspaceDemand> WorkspaceShares::Demand(Time now) const {
  std::vector<WorkspaceDemand> demand;
  for (const auto& [workspace, book] : books_) {
    Book turned = book;
    TurnSecond(&turned, now);
    LimitShare wanted = turned.asked_before;
    wanted.concurrent_streams += turned.streams;
    demand.push_back({workspace, wanted});
  }
  return demand;
}

void WorkspaceShares::TurnSecond(Book* book, Time now) {
  const std::int64_t second = SecondOf(now);
  if (second == book->second) return;
  book->asked_before = second == book->second + 1 ? book->asked : LimitShare();
  book->asked = LimitShare();
  book->second = second;
}

LimitShare WorkspaceShares::ShareOf(const WorkspaceId& workspace,
                                    const WorkspaceLimits& limits) const {
  const auto granted = granted_.find(workspace);
  if (granted != granted_.end()) return granted->second;
  return {PartOf(limits.requests_per_second, default_share_),
          PartOf(limits.tokens_per_second, default_share_),
          PartOf(limits.concurrent_streams, default_share_)};
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/server_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

// Only a response shows that a limit has ended, so a server that accepts less
// still gets a request now and then.
constexpr double kMinPerSecond = 0.2;
// The rest is left for entries that do not know the limit yet, and since the
// requests of entries that do not wait for each other come unevenly.
constexpr double kSharedFraction = 0.8;

}  // namespace

bool ServerRateLimiter::OnResponse(std::optional<double> per_second,
                                   Time sent_at, double phase,
                                   std::uint32_t entries, Time now) {
  if (!per_second && (!per_second_ || sent_at <= named_at_)) return false;
  const bool changed = per_second != per_second_;
  if (!per_second) {
    per_second_.reset();
    return true;
  }
  named_at_ = now;
  if (!changed) return false;
  const bool was_limited = per_second_.has_value();
  const Duration old_interval = was_limited ? Interval(entries) : Duration(0);
  per_second_ = per_second;
  const Duration interval = Interval(entries);
  if (!was_limited) {
    next_send_ = now + std::chrono::duration_cast<Duration>(interval * phase);
  } else if (next_send_ > now) {
    const double scale = std::chrono::duration<double>(interval) /
                         std::chrono::duration<double>(old_interval);
    next_send_ =
        now + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(next_send_ - now) * scale);
  }
  return true;
}

bool ServerRateLimiter::OnCold(Duration interval, Time until, double phase,
                               Time now) {
  const bool was_cold = IsCold(now);
  cold_until_ = std::max(cold_until_, until);
  cold_interval_ = interval;
  if (was_cold || !IsCold(now)) return false;
  cold_next_send_ =
      now + std::chrono::duration_cast<Duration>(interval * phase);
  return true;
}

void ServerRateLimiter::OnSend(std::uint32_t entries, Time now) {
  if (IsCold(now)) {
    cold_next_send_ = std::max(cold_next_send_, now) + cold_interval_;
  }
  if (!per_second_) return;
  next_send_ = std::max(next_send_, now) + Interval(entries);
}

Duration ServerRateLimiter::Interval(std::uint32_t entries) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::max<std::uint32_t>(entries, 1) /
      std::max(kSharedFraction * *per_second_, kMinPerSecond)));
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/admission.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr double kTopRankMaxFill = 1.0;
// About one engine in six drains at a time, and its streams need memory on the
// others.
constexpr double kOtherRanksMaxFill = 0.93;
// Maximum queueing time as a fraction of the latency goal. The rest is left for
// the prefill and the engine's own queue.
constexpr double kTopRankWaitFraction = 0.4;
constexpr double kOtherRanksWaitFraction = 0.7;
// Callers honour a Retry-After of up to a third of their remaining time.
constexpr double kRetryAfterFraction = 0.3;
// The streams that fill the engines now have ended by then.
constexpr milliseconds kMaxRetryAfter{12000};
constexpr milliseconds kMinRetryAfter{200};

Duration ScaleDuration(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(duration) * factor);
}

}  // namespace

double MaxFillForRank(std::uint32_t rank) {
  return rank == 0 ? kTopRankMaxFill : kOtherRanksMaxFill;
}

Duration MaxQueueWait(std::uint32_t rank, milliseconds latency_goal) {
  return ScaleDuration(
      latency_goal, rank == 0 ? kTopRankWaitFraction : kOtherRanksWaitFraction);
}

milliseconds RetryAfterNoCapacity(Duration time_left) {
  const milliseconds retry_after(
      ToMilliseconds(ScaleDuration(time_left, kRetryAfterFraction)));
  return std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace coltsfootfork

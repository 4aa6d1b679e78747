#include "coltsfootfork/core/gateway/admission.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr double kTopRankMaxFill = 1.0;
// One engine in six or so leaves at a time: its streams need room elsewhere.
constexpr double kOtherRanksMaxFill = 0.93;
// Parts of the latency goal that a call may wait; reading the prompt and the
// engine's own queue need the rest.
constexpr double kTopRankWaitFraction = 0.4;
constexpr double kOtherRanksWaitFraction = 0.7;
// Below the third that callers honour.
constexpr double kRetryAfterFraction = 0.3;
// By then the streams that fill the engines now have ended.
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

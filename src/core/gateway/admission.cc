#include "coltsfootfork/core/gateway/admission.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr double kUrgentFill = 1.0;
// One engine in six or so leaves at a time: its streams need room elsewhere.
constexpr double kOtherFill = 0.93;
// Parts of the latency goal that a call may wait; reading the prompt and the
// engine's own queue need the rest.
constexpr double kUrgentWait = 0.4;
constexpr double kOtherWait = 0.7;
// Below the third that callers honour.
constexpr double kReturnShare = 0.3;
// By then the streams that fill the engines now have ended.
constexpr milliseconds kLongestReturn{12000};
constexpr milliseconds kShortestReturn{200};

Duration PartOf(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(whole) * part);
}

}  // namespace

double MaxFillForRank(std::uint32_t rank) {
  return rank == 0 ? kUrgentFill : kOtherFill;
}

Duration MaxQueueWait(std::uint32_t rank, milliseconds goal) {
  return PartOf(goal, rank == 0 ? kUrgentWait : kOtherWait);
}

milliseconds RetryAfterNoCapacity(Duration patience_left) {
  const milliseconds part(ToMilliseconds(PartOf(patience_left, kReturnShare)));
  return std::clamp(part, kShortestReturn, kLongestReturn);
}

}  // namespace coltsfootfork

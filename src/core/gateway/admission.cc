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
// A call that takes this part of an engine's memory is set back by as long as
// it may wait, smaller ones by less: large ones among each other go by arrival.
constexpr double kLargePart = 0.125;
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

double FillOfRank(std::uint32_t rank) {
  return rank == 0 ? kUrgentFill : kOtherFill;
}

Duration LongestWait(std::uint32_t rank, milliseconds goal) {
  return PartOf(goal, rank == 0 ? kUrgentWait : kOtherWait);
}

Duration SetBackOf(std::uint32_t rank, milliseconds goal, double part) {
  return PartOf(LongestWait(rank, goal), std::min(part / kLargePart, 1.0));
}

milliseconds RetryAfterNoRoom(Duration patience_left) {
  const milliseconds part(ToMilliseconds(PartOf(patience_left, kReturnShare)));
  return std::clamp(part, kShortestReturn, kLongestReturn);
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/precopy_schedule.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// A small transfer takes 8 to 15 ms on idle links, and twice as long to another
// zone. Behind a full transfer of another stream it takes up to 218 ms.
constexpr Duration kFastTransfer = milliseconds(30);
// Expected duration of a transfer on idle links, before any was measured.
constexpr Duration kExpectedTransfer = milliseconds(15);
// Delay after the first slow transfer; doubles with each further one. When a
// slow transfer ends, the queue that it waited in has been served, so that the
// first repeat is soon; a link that is still busy then is likely to have a
// longer queue.
constexpr Duration kFirstDelay = milliseconds(10);

}  // namespace

std::optional<PrecopyPolicy> ParsePrecopyPolicy(const std::string& name) {
  if (name == "none") return SinglePrecopy{};
  if (name == "iterative") return IterativePrecopy{};
  return std::nullopt;
}

PrecopyStep PrecopySchedule::Next(Time now) const {
  if (std::holds_alternative<SinglePrecopy>(policy_)) return {};
  return NextIterative(now);
}

PrecopyStep PrecopySchedule::NextIterative(Time now) const {
  if (last_was_fast_) return {};
  const PrecopyStep stop{PrecopyStep::Action::kStopRegardless, Duration(0)};
  if (small_transfers_ == kMaxSmallTransfers) return stop;
  const Duration delay = small_transfers_ == 0
                             ? Duration(0)
                             : kFirstDelay * (1U << (small_transfers_ - 1));
  // The final transfer follows the small one, and either may take as long as
  // the last one did.
  const Duration expected = std::max(last_duration_, kExpectedTransfer);
  if (now + delay + expected * 2 > leave_by_) return stop;
  return {PrecopyStep::Action::kCopyAgain, delay};
}

void PrecopySchedule::OnSmallTransfer(Duration duration, bool done) {
  ++small_transfers_;
  last_duration_ = duration;
  last_was_fast_ = done && duration <= kFastTransfer;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/evacuation_schedule.h"

namespace coltsfootfork {

void EvacuationSchedule::Add(const std::vector<std::uint64_t>& streams,
                             Time until) {
  for (const std::uint64_t stream : streams) {
    waiting_.push_back({stream, until});
  }
}

std::vector<std::uint64_t> EvacuationSchedule::Next(std::size_t migrating,
                                                    Time now) {
  std::vector<std::uint64_t> next;
  while (!waiting_.empty() && migrating + next.size() < kMaxConcurrent) {
    const Waiting first = waiting_.front();
    waiting_.pop_front();
    if (now < first.until) next.push_back(first.stream);
  }
  return next;
}

}  // namespace coltsfootfork

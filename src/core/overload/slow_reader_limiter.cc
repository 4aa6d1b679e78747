#include "coltsfootfork/core/overload/slow_reader_limiter.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// Fraction of the limit that is to be free after connections were closed: what
// HeldBytesBudget leaves to small requests.
constexpr std::size_t kFreeFraction = 8;

}  // namespace

void SlowReaderLimiter::SetBacklog(ConnectionId id, std::size_t bytes,
                                   Time unread_since) {
  const auto found = backlogs_.find(id);
  if (found != backlogs_.end()) {
    by_unread_since_.erase({found->second.unread_since, id});
    if (bytes == 0) backlogs_.erase(found);
  }
  if (bytes == 0) return;
  backlogs_[id] = {bytes, unread_since};
  by_unread_since_.insert({unread_since, id});
}

std::vector<SlowReaderLimiter::ConnectionId> SlowReaderLimiter::ChooseVictims(
    const HeldBytesBudget& budget, Time now) const {
  std::vector<ConnectionId> victims;
  if (budget.total() < budget.limit()) return victims;
  for (const auto& [unread_since, id] : by_unread_since_) {
    if (now < unread_since + max_unread_time_) break;
    victims.push_back(id);
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [&](ConnectionId a, ConnectionId b) {
                     return backlogs_.at(a).bytes > backlogs_.at(b).bytes;
                   });
  const std::size_t target = budget.limit() - budget.limit() / kFreeFraction;
  std::size_t held = budget.total();
  auto end = victims.begin();
  while (end != victims.end() && held > target) {
    held -= std::min(held, backlogs_.at(*end).bytes);
    ++end;
  }
  victims.erase(end, victims.end());
  return victims;
}

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coltsfootfork/core/overload/held_bytes_budget.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// As long as a stream may stay unread, and longer than a lost packet and its
// first retransmissions delay a caller that reads.
inline constexpr std::chrono::milliseconds kDefaultMaxUnreadTime{1500};

// Decides which connections to close when the budget of held bytes is
// exhausted: those whose callers have read nothing for a while, the ones that
// hold the most first, until an eighth of the limit is free. A caller that
// reads keeps its connection, and while anything is free, all do.
class SlowReaderLimiter {
 public:
  using ConnectionId = std::uint64_t;

  explicit SlowReaderLimiter(Duration max_unread_time = kDefaultMaxUnreadTime)
      : max_unread_time_(max_unread_time) {}

  // Sets what the connection holds for its caller, and since when the caller
  // has read nothing. A connection that holds nothing is forgotten.
  void SetBacklog(ConnectionId id, std::size_t bytes, Time unread_since);

  // Returns the connections to close, in this order.
  std::vector<ConnectionId> ChooseVictims(const HeldBytesBudget& budget,
                                          Time now) const;

 private:
  struct Backlog {
    std::size_t bytes = 0;
    Time unread_since;
  };

  Duration max_unread_time_;
  std::map<ConnectionId, Backlog> backlogs_;
  // Ordered by time, so that a decision looks only at connections whose callers
  // have read nothing for long enough.
  std::set<std::pair<Time, ConnectionId>> by_unread_since_;
};

}  // namespace coltsfootfork

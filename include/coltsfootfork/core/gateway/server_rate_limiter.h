#pragma once

#include <cstdint>
#include <optional>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Keeps one entry within its share of the rate limit that a server names for
// the requests of all entries together. The share is the same for all entries
// and is not saved up, so that entries that were idle do not send at once.
class ServerRateLimiter {
 public:
  // A response named `per_second`, or no limit. `sent_at` is when its request
  // was sent: a response to an earlier request does not end a limit that was
  // named since. `phase`, from 0 to 1, is the fraction of an interval until
  // the first request after a limit is first named; it spreads the entries.
  // Returns true if the limit changed.
  bool OnResponse(std::optional<double> per_second, Time sent_at, double phase,
                  std::uint32_t entries, Time now);
  // Counts a request, also one that is sent before Allows.
  void OnSend(std::uint32_t entries, Time now);

  bool Allows(Time now) const { return !per_second_ || now >= next_send_; }
  // When the next request may be sent; the epoch without a limit.
  Time next_send() const { return per_second_ ? next_send_ : Time(); }
  const std::optional<double>& per_second() const { return per_second_; }

 private:
  // Returns the time between two requests of one entry.
  Duration Interval(std::uint32_t entries) const;

  std::optional<double> per_second_;
  Time named_at_;
  Time next_send_;
};

}  // namespace coltsfootfork

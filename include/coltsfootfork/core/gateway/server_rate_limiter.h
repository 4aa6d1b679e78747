#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Keeps one entry within its share of what a server takes from all entries
// together: of the rate limit that the server names, and of the requests that
// it takes while it is cold. The share is the same for all entries and is not
// saved up, so that entries that were idle do not send at once.
class ServerRateLimiter {
 public:
  // A response named `per_second`, or no limit. `sent_at` is when its request
  // was sent: a response to an earlier request does not end a limit that was
  // named since. `phase`, from 0 to 1, is the fraction of an interval until
  // the first request after a limit is first named; it spreads the entries.
  // Returns true if the limit changed.
  bool OnResponse(std::optional<double> per_second, Time sent_at, double phase,
                  std::uint32_t entries, Time now);
  // The server is cold until `until` and takes one request of this entry in
  // `interval`. `phase` is as above. Returns true if it was not known as cold.
  bool OnCold(Duration interval, Time until, double phase, Time now);
  // Counts a request, also one that is sent before Allows.
  void OnSend(std::uint32_t entries, Time now);

  bool Allows(Time now) const { return now >= next_send(now); }
  // When the next request may be sent; the epoch without a limit.
  Time next_send(Time now) const {
    const Time named = per_second_ ? next_send_ : Time();
    const Time cold = now < cold_until_ ? cold_next_send_ : Time();
    return std::max(named, cold);
  }
  const std::optional<double>& per_second() const { return per_second_; }
  bool IsCold(Time now) const { return now < cold_until_; }

 private:
  // Returns the time between two requests of one entry.
  Duration Interval(std::uint32_t entries) const;

  std::optional<double> per_second_;
  Time named_at_;
  Time next_send_;
  Time cold_until_;
  Duration cold_interval_{0};
  Time cold_next_send_;
};

}  // namespace coltsfootfork

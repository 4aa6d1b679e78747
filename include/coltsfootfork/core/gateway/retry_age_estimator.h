#pragma once

#include <chrono>
#include <map>
#include <string>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// How long ago callers first asked. A caller that comes back after a refusal
// has less patience left than the route's callers have at first, and its answer
// is in time only if it comes within the latency goal of its first attempt.
class RetryAgeEstimator {
 public:
  // How long the caller has been asking already, at least; zero for the most
  // patient caller of the route so far.
  Duration EstimateAge(const std::string& route,
                       std::chrono::milliseconds caller_timeout);

 private:
  std::map<std::string, std::chrono::milliseconds> max_timeouts_;
};

}  // namespace coltsfootfork

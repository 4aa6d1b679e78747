#pragma once

#include <chrono>
#include <map>
#include <string>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Estimates the time since a caller's first request. A caller that retries
// after a refusal has a shorter remaining timeout than a new caller of the
// route, and its response is on time only within the latency goal counted from
// the first request.
class RetryAgeEstimator {
 public:
  // Returns a lower bound of the time since the first request: the difference
  // to the longest caller timeout seen on the route.
  Duration EstimateAge(const std::string& route,
                       std::chrono::milliseconds caller_timeout);

 private:
  std::map<std::string, std::chrono::milliseconds> max_timeouts_;
};

}  // namespace coltsfootfork

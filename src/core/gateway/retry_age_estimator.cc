#include "coltsfootfork/core/gateway/retry_age_estimator.h"

#include <algorithm>

namespace coltsfootfork {

Duration RetryAgeEstimator::EstimateAge(
    const std::string& route, std::chrono::milliseconds caller_timeout) {
  std::chrono::milliseconds& max_timeout = max_timeouts_[route];
  max_timeout = std::max(max_timeout, caller_timeout);
  return max_timeout - caller_timeout;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/retry_age_estimator.h"

#include <algorithm>

namespace coltsfootfork {

Duration RetryAgeEstimator::EstimateAge(const std::string& route,
                                        std::chrono::milliseconds patience) {
  std::chrono::milliseconds& longest = longest_[route];
  longest = std::max(longest, patience);
  return longest - patience;
}

}  // namespace coltsfootfork

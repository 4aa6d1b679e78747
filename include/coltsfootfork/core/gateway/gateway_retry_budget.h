#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct GatewayRetryBudgetOptions {
  // Maximum retries per first attempt within `window`. Each entry applies the
  // ratio to its own calls, so it also holds for all entries together.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
};

// Limits the retries of each service, so that retries do not amplify an
// overload.
class GatewayRetryBudget {
 public:
  explicit GatewayRetryBudget(const GatewayRetryBudgetOptions& options)
      : options_(options) {}

  // Counts the first attempt of a call.
  void CountFirstAttempt(const ServiceId& service, Time now);
  // Counts a retry. Retries beyond the budget count too.
  void CountRetry(const ServiceId& service, Time now);
  bool AllowsRetry(const ServiceId& service, Time now);

 private:
  // The sliding window is divided into this many buckets.
  static constexpr std::size_t kBuckets = 10;
  struct Bucket {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };
  using Buckets = std::array<Bucket, kBuckets>;

  Bucket& BucketAt(const ServiceId& service, Time now);
  std::int64_t BucketNumber(Time now) const;

  GatewayRetryBudgetOptions options_;
  std::map<ServiceId, Buckets> services_;
};

}  // namespace coltsfootfork

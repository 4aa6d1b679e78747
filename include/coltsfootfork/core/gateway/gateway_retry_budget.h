#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct GatewayRetryBudgetOptions {
  // Repeats for each first send, in every window of this length. Each entry
  // keeps the share for its own calls, so all entries together keep it too.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
};

// Bounds how often calls are sent once more, service by service, so that
// repeats cannot multiply an overload.
class GatewayRetryBudget {
 public:
  explicit GatewayRetryBudget(const GatewayRetryBudgetOptions& options)
      : options_(options) {}

  // A call is sent for the first time.
  void CountFirstAttempt(const ServiceId& service, Time now);
  // A call was sent once more, within the budget or not.
  void CountRetry(const ServiceId& service, Time now);
  bool AllowsRetry(const ServiceId& service, Time now);

 private:
  // The window is kept in so many parts.
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

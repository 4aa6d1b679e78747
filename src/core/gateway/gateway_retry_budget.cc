#include "coltsfootfork/core/gateway/gateway_retry_budget.h"

namespace coltsfootfork {

void GatewayRetryBudget::CountFirstAttempt(const ServiceId& service, Time now) {
  ++BucketAt(service, now).first_attempts;
}

void GatewayRetryBudget::CountRetry(const ServiceId& service, Time now) {
  ++BucketAt(service, now).retries;
}

bool GatewayRetryBudget::AllowsRetry(const ServiceId& service, Time now) {
  BucketAt(service, now);
  const std::int64_t oldest =
      BucketNumber(now) - static_cast<std::int64_t>(kBuckets) + 1;
  double first_attempts = 0;
  double retries = 0;
  for (const Bucket& bucket : services_[service]) {
    if (bucket.number < oldest) continue;
    first_attempts += bucket.first_attempts;
    retries += bucket.retries;
  }
  return retries + 1 <= options_.ratio * first_attempts;
}

GatewayRetryBudget::Bucket& GatewayRetryBudget::BucketAt(
    const ServiceId& service, Time now) {
  const std::int64_t number = BucketNumber(now);
  Bucket& bucket =
      services_[service][static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) bucket = {number, 0, 0};
  return bucket;
}

std::int64_t GatewayRetryBudget::BucketNumber(Time now) const {
  const Duration bucket_length = options_.window / static_cast<int>(kBuckets);
  return now.time_since_epoch() / bucket_length;
}

}  // namespace coltsfootfork

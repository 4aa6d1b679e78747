#include "coltsfootfork/core/gateway/gateway_retry_budget.h"

namespace coltsfootfork {

void GatewayRetryBudget::CountFirstAttempt(const ServiceId& service, Time now) {
  ++PartAt(service, now).firsts;
}

void GatewayRetryBudget::CountRetry(const ServiceId& service, Time now) {
  ++PartAt(service, now).repeats;
}

bool GatewayRetryBudget::AllowsRetry(const ServiceId& service, Time now) {
  PartAt(service, now);
  const std::int64_t oldest =
      NumberOf(now) - static_cast<std::int64_t>(kParts) + 1;
  double firsts = 0;
  double repeats = 0;
  for (const Part& part : services_[service]) {
    if (part.number < oldest) continue;
    firsts += part.firsts;
    repeats += part.repeats;
  }
  return repeats + 1 <= options_.ratio * firsts;
}

GatewayRetryBudget::Part& GatewayRetryBudget::PartAt(const ServiceId& service,
                                                     Time now) {
  const std::int64_t number = NumberOf(now);
  Part& part = services_[service][static_cast<std::size_t>(number) % kParts];
  if (part.number != number) part = {number, 0, 0};
  return part;
}

std::int64_t GatewayRetryBudget::NumberOf(Time now) const {
  const Duration part = options_.window / static_cast<int>(kParts);
  return now.time_since_epoch() / part;
}

}  // namespace coltsfootfork

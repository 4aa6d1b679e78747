#include "core/routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {

void RetryBudget::OnSuccess() {
  available_ =
      std::min(options_.budget_limit, available_ + options_.budget_share);
}

bool RetryBudget::TrySpend(Time now) {
  Refill(now);
  if (available_ < 1.0) return false;
  available_ -= 1.0;
  return true;
}

void RetryBudget::Refill(Time now) {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  available_ =
      std::min(options_.budget_limit,
               available_ + elapsed.count() * options_.budget_per_second);
}

}  // namespace coltsfootfork

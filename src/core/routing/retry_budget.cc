#include "core/routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {

void RetryBudget::OnSuccess() {
  level_ = std::min(options_.budget_limit, level_ + options_.budget_share);
}

bool RetryBudget::Spend(Time now) {
  Refill(now);
  if (level_ < 1.0) return false;
  level_ -= 1.0;
  return true;
}

void RetryBudget::Refill(Time now) {
  const std::chrono::duration<double> passed = now - refilled_at_;
  refilled_at_ = now;
  level_ = std::min(options_.budget_limit,
                    level_ + passed.count() * options_.budget_per_second);
}

}  // namespace coltsfootfork

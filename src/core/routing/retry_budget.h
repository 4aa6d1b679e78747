#pragma once

#include "coltsfootfork/core/routing/entry_options.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Limits retries to a share of recent successes, so that a failing server does
// not multiply the load on the others.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options)
      : options_(options), available_(options.budget_limit) {}

  void OnSuccess();

  // Consumes one retry, or returns false if none is left.
  bool TrySpend(Time now);

 private:
  void Refill(Time now);

  RetryOptions options_;
  double available_;
  Time refilled_at_{};
};

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/gateway_retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kStart{std::chrono::seconds(1000)};
const ServiceId kService("ledger");

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheRatioOfFirstAttempts) {
  GatewayRetryBudget budget({0.2, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) budget.CountFirstAttempt(kService, kStart);
  int retries = 0;
  while (budget.AllowsRetry(kService, kStart) && retries < 100) {
    budget.CountRetry(kService, kStart);
    ++retries;
  }
  BOOST_TEST(retries == 10);
}

BOOST_AUTO_TEST_CASE(FirstAttemptsCountOnlyWithinTheWindow) {
  GatewayRetryBudget budget({0.2, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) budget.CountFirstAttempt(kService, kStart);
  BOOST_TEST(budget.AllowsRetry(kService, kStart + std::chrono::seconds(9)));
  BOOST_TEST(!budget.AllowsRetry(kService, kStart + std::chrono::seconds(11)));
}

BOOST_AUTO_TEST_CASE(ServicesHaveSeparateBudgets) {
  GatewayRetryBudget budget({0.2, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) budget.CountFirstAttempt(kService, kStart);
  BOOST_TEST(!budget.AllowsRetry(ServiceId("other"), kStart));
}

}  // namespace
}  // namespace coltsfootfork

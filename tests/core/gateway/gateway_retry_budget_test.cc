#include "coltsfootfork/core/gateway/gateway_retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kStart{std::chrono::seconds(1000)};
const ServiceId kService("ledger");

BOOST_AUTO_TEST_CASE(RepeatsStayBelowTheRatioOfFirstSends) {
  GatewayRetryBudget budget({0.2, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) budget.CountFirstAttempt(kService, kStart);
  int repeats = 0;
  while (budget.AllowsRetry(kService, kStart) && repeats < 100) {
    budget.CountRetry(kService, kStart);
    ++repeats;
  }
  BOOST_TEST(repeats == 10);
}

BOOST_AUTO_TEST_CASE(FirstSendsCountOnlyWithinTheWindow) {
  GatewayRetryBudget budget({0.2, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) budget.CountFirstAttempt(kService, kStart);
  BOOST_TEST(budget.AllowsRetry(kService, kStart + std::chrono::seconds(9)));
  BOOST_TEST(!budget.AllowsRetry(kService, kStart + std::chrono::seconds(11)));
}

BOOST_AUTO_TEST_CASE(ServicesHaveBudgetsOfTheirOwn) {
  GatewayRetryBudget budget({0.2, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) budget.CountFirstAttempt(kService, kStart);
  BOOST_TEST(!budget.AllowsRetry(ServiceId("other"), kStart));
}

}  // namespace
}  // namespace coltsfootfork

#include <boost/test/unit_test.hpp>

#include "scheduling/scenarios.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::seconds kEnd{180};

BOOST_AUTO_TEST_CASE(OneSeedKeepsTheBaselinesThroughput) {
  const RunRecord agent =
      RunScenario(DeferrableFlood(), AgentPolicy(), {7}, kEnd);
  const RunRecord baseline =
      RunScenario(DeferrableFlood(), BaselinePolicy(), {7}, kEnd);
  BOOST_TEST(agent.TokensPerSecond() >= 0.95 * baseline.TokensPerSecond());
}

}  // namespace
}  // namespace coltsfootfork

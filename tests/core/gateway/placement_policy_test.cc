#include "coltsfootfork/core/gateway/placement_policy.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(PoliciesHaveNames) {
  BOOST_TEST(std::holds_alternative<PowerOfDChoicesPlacement>(
      *PlacementNamed("drawn")));
  BOOST_TEST(std::holds_alternative<RoundRobinPlacement>(
      *PlacementNamed("round_robin")));
  BOOST_TEST(std::holds_alternative<LeastRequestsPlacement>(
      *PlacementNamed("fewest_calls")));
  BOOST_TEST(!PlacementNamed("best").has_value());
}

}  // namespace
}  // namespace coltsfootfork

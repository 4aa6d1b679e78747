#include "coltsfootfork/core/gateway/placement_policy.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(ParsesPolicyNames) {
  BOOST_TEST(std::holds_alternative<PowerOfDChoicesPlacement>(
      *ParsePlacementPolicy("drawn")));
  BOOST_TEST(std::holds_alternative<RoundRobinPlacement>(
      *ParsePlacementPolicy("round_robin")));
  BOOST_TEST(std::holds_alternative<LeastRequestsPlacement>(
      *ParsePlacementPolicy("fewest_calls")));
  BOOST_TEST(!ParsePlacementPolicy("best").has_value());
}

}  // namespace
}  // namespace coltsfootfork

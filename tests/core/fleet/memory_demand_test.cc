#include "coltsfootfork/core/fleet/memory_demand.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

const ServiceId kService("model");

BOOST_AUTO_TEST_CASE(DemandsAddAndSubtract) {
  FleetDemand sum = {{{kService, 0}, 10}};
  AddDemand(sum, {{{kService, 0}, 5}, {{kService, 1}, 7}});
  BOOST_TEST((sum[{kService, 0}]) == 15U);
  SubtractDemand(sum, {{{kService, 0}, 4}, {{kService, 1}, 9}});
  BOOST_TEST((sum[{kService, 0}]) == 11U);
  BOOST_TEST(sum.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ListRoundTrip) {
  const FleetDemand demand = {{{kService, 0}, 10}, {{kService, 3}, 7}};
  BOOST_TEST((ToFleetDemand(ToList(demand)) == demand));
}

}  // namespace
}  // namespace coltsfootfork

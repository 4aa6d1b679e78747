#include "coltsfootfork/core/fleet/server_load.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

const ServerId kServer("i-1");

BOOST_AUTO_TEST_CASE(SubtractsPartFromSum) {
  FleetLoad sum = {{kServer, {2, 7000, 3000}}};
  AddLoad(sum, {{kServer, {1, 500, 100}}, {ServerId("i-2"), {1, 1, 1}}});
  BOOST_TEST(sum[kServer].calls == 3U);
  SubtractLoad(sum, {{kServer, {1, 500, 100}}});
  BOOST_TEST(sum[kServer].tokens == 7000U);
  BOOST_TEST(sum[kServer].pending_prefill_tokens == 3000U);
}

// The sum and the part may have been measured at different times.
BOOST_AUTO_TEST_CASE(SubtractingLargerPartClampsAtZero) {
  FleetLoad sum = {{kServer, {1, 100, 0}}};
  SubtractLoad(sum, {{kServer, {2, 500, 10}}});
  BOOST_TEST(sum[kServer].calls == 0U);
  BOOST_TEST(sum[kServer].tokens == 0U);
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/startup_hold.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(LongTimeoutAllowsTheMaximumHold) {
  const StartupHoldOptions options;
  BOOST_CHECK(StartupHoldFor(options, milliseconds(100), milliseconds(39000)) ==
              options.max_hold);
}

BOOST_AUTO_TEST_CASE(ShortTimeoutLimitsTheHold) {
  BOOST_CHECK(StartupHoldFor({}, milliseconds(100), milliseconds(1000)) ==
              milliseconds(250));
}

BOOST_AUTO_TEST_CASE(DisconnectedEntryHoldsNoCalls) {
  BOOST_CHECK(StartupHoldFor({}, std::chrono::seconds(60),
                             milliseconds(39000)) == Duration(0));
  BOOST_CHECK(StartupHoldFor({milliseconds(0)}, milliseconds(100),
                             milliseconds(39000)) == Duration(0));
}

}  // namespace
}  // namespace coltsfootfork

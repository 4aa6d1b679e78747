#include "coltsfootfork/core/gateway/startup_hold.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(APatientCallIsHeldForAsLongAsAStartTakes) {
  const StartupHoldOptions options;
  BOOST_CHECK(StartupHoldFor(options, milliseconds(100), milliseconds(39000)) ==
              options.max_hold);
}

BOOST_AUTO_TEST_CASE(AHurriedCallKeepsMostOfItsTime) {
  BOOST_CHECK(StartupHoldFor({}, milliseconds(100), milliseconds(1000)) ==
              milliseconds(250));
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsCutOffHoldsNothing) {
  BOOST_CHECK(StartupHoldFor({}, std::chrono::seconds(60),
                             milliseconds(39000)) == Duration(0));
  BOOST_CHECK(StartupHoldFor({milliseconds(0)}, milliseconds(100),
                             milliseconds(39000)) == Duration(0));
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/anti_entropy_timer.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(ADifferenceThatPassesIsNotAskedFor) {
  AntiEntropyTimer timer;
  BOOST_TEST(!timer.ShouldRequestSync(true, kNow));
  BOOST_TEST(!timer.ShouldRequestSync(false, kNow + milliseconds(200)));
  BOOST_TEST(!timer.ShouldRequestSync(true, kNow + milliseconds(400)));
  BOOST_TEST(!timer.ShouldRequestSync(true, kNow + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(OneThatLastsIsAskedForNowAndThen) {
  AntiEntropyTimer timer;
  int asked = 0;
  // As often as a peer is heard, for three seconds.
  for (int i = 0; i < 15; ++i) {
    if (timer.ShouldRequestSync(true, kNow + i * milliseconds(200))) ++asked;
  }
  BOOST_TEST(asked >= 3);
  BOOST_TEST(asked <= 5);
}

// Both directions within the time for which a comparison counts for a process
// to be in touch.
BOOST_AUTO_TEST_CASE(TheFirstQuestionComesSoon) {
  AntiEntropyTimer timer;
  timer.ShouldRequestSync(true, kNow);
  timer.ShouldRequestSync(true, kNow + milliseconds(200));
  BOOST_TEST(timer.ShouldRequestSync(true, kNow + milliseconds(400)));
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/mismatch_watch.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(ADifferenceThatPassesIsNotAskedFor) {
  MismatchWatch watch;
  BOOST_TEST(!watch.ShouldAsk(true, kNow));
  BOOST_TEST(!watch.ShouldAsk(false, kNow + milliseconds(200)));
  BOOST_TEST(!watch.ShouldAsk(true, kNow + milliseconds(400)));
  BOOST_TEST(!watch.ShouldAsk(true, kNow + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(OneThatLastsIsAskedForNowAndThen) {
  MismatchWatch watch;
  int asked = 0;
  // As often as a peer is heard, for three seconds.
  for (int i = 0; i < 15; ++i) {
    if (watch.ShouldAsk(true, kNow + i * milliseconds(200))) ++asked;
  }
  BOOST_TEST(asked >= 3);
  BOOST_TEST(asked <= 5);
}

// Both directions within the time for which a comparison counts for a process
// to be in touch.
BOOST_AUTO_TEST_CASE(TheFirstQuestionComesSoon) {
  MismatchWatch watch;
  watch.ShouldAsk(true, kNow);
  watch.ShouldAsk(true, kNow + milliseconds(200));
  BOOST_TEST(watch.ShouldAsk(true, kNow + milliseconds(400)));
}

}  // namespace
}  // namespace coltsfootfork

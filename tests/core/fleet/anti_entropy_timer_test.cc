#include "coltsfootfork/core/fleet/anti_entropy_timer.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(TransientDifferenceTriggersNoRequest) {
  AntiEntropyTimer timer;
  BOOST_TEST(!timer.ShouldRequestSync(true, kNow));
  BOOST_TEST(!timer.ShouldRequestSync(false, kNow + milliseconds(200)));
  BOOST_TEST(!timer.ShouldRequestSync(true, kNow + milliseconds(400)));
  BOOST_TEST(!timer.ShouldRequestSync(true, kNow + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(PersistentDifferenceTriggersRequestsAtLimitedRate) {
  AntiEntropyTimer timer;
  int requests = 0;
  // One digest every 200 ms for three seconds.
  for (int i = 0; i < 15; ++i) {
    if (timer.ShouldRequestSync(true, kNow + i * milliseconds(200))) ++requests;
  }
  BOOST_TEST(requests >= 3);
  BOOST_TEST(requests <= 5);
}

// Syncs in both directions must fit within the validity of a digest exchange
// (QuorumTracker::kSyncValidity).
BOOST_AUTO_TEST_CASE(FirstRequestIsPrompt) {
  AntiEntropyTimer timer;
  timer.ShouldRequestSync(true, kNow);
  timer.ShouldRequestSync(true, kNow + milliseconds(200));
  BOOST_TEST(timer.ShouldRequestSync(true, kNow + milliseconds(400)));
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/admission.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(UrgentCallsMayFillMoreMemory) {
  BOOST_TEST(MaxFillForRank(0) > MaxFillForRank(1));
  BOOST_TEST(MaxFillForRank(1) == MaxFillForRank(5));
}

BOOST_AUTO_TEST_CASE(QueueWaitIsBelowTheLatencyGoal) {
  for (const std::uint32_t rank : {0U, 1U, 3U}) {
    BOOST_CHECK(MaxQueueWait(rank, milliseconds(4000)) < milliseconds(4000));
  }
}

// Callers time out after four times the latency goal.
BOOST_AUTO_TEST_CASE(QueueWaitIsBelowTheCallerTimeout) {
  for (const std::uint32_t rank : {0U, 1U, 3U}) {
    BOOST_CHECK(MaxQueueWait(rank, milliseconds(4000)) < milliseconds(16000));
  }
}

// Callers honour a Retry-After of up to a third of their remaining time.
BOOST_AUTO_TEST_CASE(RetryAfterIsWithinWhatCallersHonour) {
  for (const int time_left : {900, 3000, 6000, 39000}) {
    const milliseconds retry_after =
        RetryAfterNoCapacity(milliseconds(time_left));
    BOOST_TEST(3 * retry_after.count() <= time_left);
  }
}

BOOST_AUTO_TEST_CASE(RetryAfterIsPositiveWithoutTimeLeft) {
  BOOST_CHECK(RetryAfterNoCapacity(milliseconds(-50)) > milliseconds(0));
}

}  // namespace
}  // namespace coltsfootfork

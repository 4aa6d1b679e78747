#include "coltsfootfork/core/gateway/admission_queue.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
constexpr Time kLater = kNow + std::chrono::seconds(1);
constexpr AdmissionQueue::Window kOnTimeWindow{kLater, kLater};
const ServiceId kService("model");

using Tickets = std::vector<AdmissionQueue::Ticket>;

BOOST_AUTO_TEST_CASE(DispatchesByRankThenByArrival) {
  AdmissionQueue queue;
  const auto a = queue.Enqueue(kService, 2, kOnTimeWindow, kNow);
  const auto b = queue.Enqueue(kService, 0, kOnTimeWindow, kNow);
  const auto c = queue.Enqueue(kService, 2, kOnTimeWindow, kNow);
  Tickets dispatched;
  queue.DispatchQueued(
      [&](AdmissionQueue::Ticket ticket) {
        dispatched.push_back(ticket);
        return true;
      },
      kNow);
  BOOST_TEST(dispatched == (Tickets{b, a, c}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(SmallCallsDoNotStarveALargeOne) {
  AdmissionQueue queue;
  const auto large = queue.Enqueue(kService, 1, kOnTimeWindow, kNow);
  queue.Enqueue(kService, 1, kOnTimeWindow, kNow);
  Tickets offered;
  queue.DispatchQueued(
      [&](AdmissionQueue::Ticket ticket) {
        offered.push_back(ticket);
        return false;
      },
      kNow);
  BOOST_TEST(offered == Tickets{large}, boost::test_tools::per_element());
  BOOST_TEST(queue.QueueLength(kService) == 2U);
}

BOOST_AUTO_TEST_CASE(FullServiceDoesNotBlockAnother) {
  AdmissionQueue queue;
  queue.Enqueue(kService, 0, kOnTimeWindow, kNow);
  const auto other = queue.Enqueue(ServiceId("other"), 5, kOnTimeWindow, kNow);
  Tickets dispatched;
  queue.DispatchQueued(
      [&](AdmissionQueue::Ticket ticket) {
        if (ticket != other) return false;
        dispatched.push_back(ticket);
        return true;
      },
      kNow);
  BOOST_TEST(dispatched == Tickets{other}, boost::test_tools::per_element());
}

// Under overload, late calls must not delay calls that can still be on time.
BOOST_AUTO_TEST_CASE(OnTimeCallsPrecedeLateOnesOfTheSameRank) {
  AdmissionQueue queue;
  const AdmissionQueue::Window late_but_not_expired{
      kNow, kLater + std::chrono::seconds(9)};
  const auto late = queue.Enqueue(kService, 2, late_but_not_expired, kNow);
  const auto soon_late = queue.Enqueue(kService, 2, kOnTimeWindow, kNow);
  const auto on_time = queue.Enqueue(
      kService, 2, {kLater + std::chrono::seconds(1), kLater}, kNow);
  const auto less_urgent = queue.Enqueue(kService, 3, kOnTimeWindow, kNow);
  Tickets dispatched;
  queue.DispatchQueued(
      [&](AdmissionQueue::Ticket ticket) {
        dispatched.push_back(ticket);
        return true;
      },
      kLater);
  BOOST_TEST(dispatched == (Tickets{on_time, late, soon_late, less_urgent}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(UrgentCallPrecedesLessUrgentOnes) {
  AdmissionQueue queue;
  BOOST_TEST(queue.WouldBeFirst(kService, 2));
  queue.Enqueue(kService, 2, kOnTimeWindow, kNow);
  BOOST_TEST(queue.WouldBeFirst(kService, 1));
  BOOST_TEST(!queue.WouldBeFirst(kService, 2));
  BOOST_TEST(queue.WouldBeFirst(ServiceId("other"), 5));
}

BOOST_AUTO_TEST_CASE(ExpiredCallIsRemoved) {
  AdmissionQueue queue;
  const auto ticket = queue.Enqueue(kService, 0, kOnTimeWindow, kNow);
  BOOST_TEST(!queue.PopExpired(kNow).has_value());
  BOOST_TEST(queue.PopExpired(kLater).value() == ticket);
  BOOST_TEST(queue.size() == 0U);
  queue.Remove(ticket);
}

}  // namespace
}  // namespace coltsfootfork

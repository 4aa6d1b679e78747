#include "coltsfootfork/core/gateway/waiting_room.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
constexpr Time kLater = kNow + std::chrono::seconds(1);
constexpr WaitingRoom::Window kWindow{kLater, kLater};
const ServiceId kService("model");

using Tickets = std::vector<WaitingRoom::Ticket>;

BOOST_AUTO_TEST_CASE(TheMostUrgentComesFirstThenTheFirst) {
  WaitingRoom room;
  const auto a = room.Enter(kService, 2, kWindow, kNow);
  const auto b = room.Enter(kService, 0, kWindow, kNow);
  const auto c = room.Enter(kService, 2, kWindow, kNow);
  Tickets served;
  room.Offer(
      [&](WaitingRoom::Ticket ticket) {
        served.push_back(ticket);
        return true;
      },
      kNow);
  BOOST_TEST(served == (Tickets{b, a, c}), boost::test_tools::per_element());
  BOOST_TEST(room.size() == 0U);
}

BOOST_AUTO_TEST_CASE(SmallCallsDoNotPassALargeOneForEver) {
  WaitingRoom room;
  const auto large = room.Enter(kService, 1, kWindow, kNow);
  room.Enter(kService, 1, kWindow, kNow);
  Tickets offered;
  room.Offer(
      [&](WaitingRoom::Ticket ticket) {
        offered.push_back(ticket);
        return false;
      },
      kNow);
  BOOST_TEST(offered == Tickets{large}, boost::test_tools::per_element());
  BOOST_TEST(room.WaitingFor(kService) == 2U);
}

BOOST_AUTO_TEST_CASE(AFullServiceDoesNotHoldUpAnother) {
  WaitingRoom room;
  room.Enter(kService, 0, kWindow, kNow);
  const auto other = room.Enter(ServiceId("other"), 5, kWindow, kNow);
  Tickets served;
  room.Offer(
      [&](WaitingRoom::Ticket ticket) {
        if (ticket != other) return false;
        served.push_back(ticket);
        return true;
      },
      kNow);
  BOOST_TEST(served == Tickets{other}, boost::test_tools::per_element());
}

// More comes than the servers can do: calls that can still be answered in time
// are not made late by those that cannot.
BOOST_AUTO_TEST_CASE(CallsThatCanBeInTimeGoBeforeLateOnesOfTheirRank) {
  WaitingRoom room;
  const WaitingRoom::Window stays{kNow, kLater + std::chrono::seconds(9)};
  const auto late = room.Enter(kService, 2, stays, kNow);
  const auto soon_late = room.Enter(kService, 2, kWindow, kNow);
  const auto in_time =
      room.Enter(kService, 2, {kLater + std::chrono::seconds(1), kLater}, kNow);
  const auto less_urgent = room.Enter(kService, 3, kWindow, kNow);
  Tickets served;
  room.Offer(
      [&](WaitingRoom::Ticket ticket) {
        served.push_back(ticket);
        return true;
      },
      kLater);
  BOOST_TEST(served == (Tickets{in_time, late, soon_late, less_urgent}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AnUrgentCallDoesNotWaitBehindLessUrgentOnes) {
  WaitingRoom room;
  BOOST_TEST(room.IsNext(kService, 2));
  room.Enter(kService, 2, kWindow, kNow);
  BOOST_TEST(room.IsNext(kService, 1));
  BOOST_TEST(!room.IsNext(kService, 2));
  BOOST_TEST(room.IsNext(ServiceId("other"), 5));
}

BOOST_AUTO_TEST_CASE(WhoseTimeIsOverIsTakenOut) {
  WaitingRoom room;
  const auto ticket = room.Enter(kService, 0, kWindow, kNow);
  BOOST_TEST(!room.TakeExpired(kNow).has_value());
  BOOST_TEST(room.TakeExpired(kLater).value() == ticket);
  BOOST_TEST(room.size() == 0U);
  room.Leave(ticket);
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/waiting_room.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
constexpr Time kLater = kNow + std::chrono::seconds(1);
const ServiceId kService("model");

using Tickets = std::vector<WaitingRoom::Ticket>;

BOOST_AUTO_TEST_CASE(TheMostUrgentComesFirstThenTheFirst) {
  WaitingRoom room;
  const auto a = room.Enter(kService, 2, kLater);
  const auto b = room.Enter(kService, 0, kLater);
  const auto c = room.Enter(kService, 2, kLater);
  Tickets served;
  room.Offer([&](WaitingRoom::Ticket ticket) {
    served.push_back(ticket);
    return true;
  });
  BOOST_TEST(served == (Tickets{b, a, c}), boost::test_tools::per_element());
  BOOST_TEST(room.size() == 0U);
}

BOOST_AUTO_TEST_CASE(SmallCallsDoNotPassALargeOneForEver) {
  WaitingRoom room;
  const auto large = room.Enter(kService, 1, kLater);
  room.Enter(kService, 1, kLater);
  Tickets offered;
  room.Offer([&](WaitingRoom::Ticket ticket) {
    offered.push_back(ticket);
    return false;
  });
  BOOST_TEST(offered == Tickets{large}, boost::test_tools::per_element());
  BOOST_TEST(room.WaitingFor(kService) == 2U);
}

BOOST_AUTO_TEST_CASE(AFullServiceDoesNotHoldUpAnother) {
  WaitingRoom room;
  room.Enter(kService, 0, kLater);
  const auto other = room.Enter(ServiceId("other"), 5, kLater);
  Tickets served;
  room.Offer([&](WaitingRoom::Ticket ticket) {
    if (ticket != other) return false;
    served.push_back(ticket);
    return true;
  });
  BOOST_TEST(served == Tickets{other}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(WhoseTimeIsOverIsTakenOut) {
  WaitingRoom room;
  const auto ticket = room.Enter(kService, 0, kLater);
  BOOST_TEST(!room.TakeExpired(kNow).has_value());
  BOOST_TEST(room.TakeExpired(kLater).value() == ticket);
  BOOST_TEST(room.size() == 0U);
  room.Leave(ticket);
}

}  // namespace
}  // namespace coltsfootfork

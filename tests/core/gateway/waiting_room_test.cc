#include "coltsfootfork/core/gateway/waiting_room.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "coltsfootfork/core/gateway/admission.h"

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

// A burst brings half as much again as the engines hold. Callers give up after
// the time for which they are kept waiting.
struct Served {
  int all = 0;
  int large = 0;
};
constexpr int kBurst = 1200;

bool IsLarge(int call) { return call % 10 == 0; }

Served PlayBurst(bool by_size) {
  constexpr std::chrono::milliseconds kGoal(4000);
  constexpr std::chrono::milliseconds kRuns(4500);
  constexpr std::chrono::milliseconds kApart(8);
  constexpr std::uint32_t kRank = 2;
  constexpr double kEngines = 35;
  constexpr double kMemory = 34000;
  WaitingRoom room;
  std::map<WaitingRoom::Ticket, int> waiting;
  std::multimap<Time, double> running;
  double used = 0;
  Served served;
  const auto tokens = [](int call) {
    return IsLarge(call) ? 5500.0 : 1500.0 + 350.0 * (call * 7 % 10);
  };
  Time now = kNow;
  for (int call = 0; call < kBurst; ++call, now += kApart) {
    while (!running.empty() && running.begin()->first <= now) {
      used -= running.begin()->second;
      running.erase(running.begin());
    }
    WaitingRoom::Window window;
    window.in_time = window.end = now + LongestWait(kRank, kGoal);
    if (by_size) {
      window.set_back = SetBackOf(kRank, kGoal, tokens(call) / kMemory);
    }
    waiting[room.Enter(kService, kRank, window, now)] = call;
    room.Offer(
        [&](WaitingRoom::Ticket ticket) {
          const int one = waiting.at(ticket);
          if (used + tokens(one) > kEngines * kMemory) return false;
          used += tokens(one);
          running.emplace(now + kRuns, tokens(one));
          ++served.all;
          if (IsLarge(one)) ++served.large;
          return true;
        },
        now);
    while (room.TakeExpired(now)) {
    }
  }
  return served;
}

BOOST_AUTO_TEST_CASE(MoreCallersAreServedInTimeWhereSmallCallsGoFirst) {
  const Served by_arrival = PlayBurst(/*by_size=*/false);
  const Served by_size = PlayBurst(/*by_size=*/true);
  BOOST_TEST(by_arrival.all < kBurst);
  BOOST_TEST(by_size.all > by_arrival.all * 1.04);
  // The largest tenth is served at least half as often as all.
  BOOST_TEST(by_size.large * 10 >= by_size.all / 2);
}

}  // namespace
}  // namespace coltsfootfork

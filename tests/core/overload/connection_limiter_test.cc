#include "coltsfootfork/core/overload/connection_limiter.h"

#include <boost/test/unit_test.hpp>
#include <vector>

// Guards against floods of connections: which are closed, and that callers
// whose requests are in progress or have just connected are spared.
namespace coltsfootfork {
namespace {

using Id = ConnectionLimiter::ConnectionId;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr Time kLater = kStart + seconds(10);

struct Fixture {
  explicit Fixture(std::size_t connections, std::size_t bytes = 1000)
      : limiter({connections, bytes}) {}

  Id Open(ConnectionPhase phase, Time now = kStart, std::size_t bytes = 0) {
    const Id id = limiter.Open(now);
    limiter.SetPhase(id, phase, now);
    limiter.SetReadingBytes(id, bytes);
    return id;
  }
  std::vector<Id> CloseUntilWithinLimits(Time now) {
    std::vector<Id> closed;
    while (const auto victim = limiter.ChooseVictim(now)) {
      closed.push_back(*victim);
      limiter.Close(*victim);
    }
    return closed;
  }

  ConnectionLimiter limiter;
};

BOOST_AUTO_TEST_CASE(WithinLimitsNothingIsClosed) {
  Fixture fixture(2);
  fixture.Open(ConnectionPhase::kIdle);
  fixture.Open(ConnectionPhase::kReadingHead, kStart, 1000);
  BOOST_TEST(!fixture.limiter.IsOverLimit());
  BOOST_TEST(fixture.CloseUntilWithinLimits(kLater).empty());
}

BOOST_AUTO_TEST_CASE(IdleConnectionsThenHeadsThenLargestAreClosed) {
  Fixture fixture(1, 100000);
  const Id large = fixture.Open(ConnectionPhase::kReadingBody, kStart, 900);
  const Id small = fixture.Open(ConnectionPhase::kReadingBody, kStart, 100);
  const Id head = fixture.Open(ConnectionPhase::kReadingHead, kStart);
  const Id older_head =
      fixture.Open(ConnectionPhase::kReadingHead, kStart - seconds(1));
  const Id idle = fixture.Open(ConnectionPhase::kIdle, kStart);
  const Id longer_idle =
      fixture.Open(ConnectionPhase::kIdle, kStart - seconds(1));
  fixture.Open(ConnectionPhase::kResponding, kStart);
  const std::vector<Id> expected = {longer_idle, idle,  older_head,
                                    head,        large, small};
  BOOST_TEST(fixture.CloseUntilWithinLimits(kLater) == expected,
             boost::test_tools::per_element());
}

// A caller that connects during a flood of incomplete requests gets to send its
// request.
BOOST_AUTO_TEST_CASE(NewConnectionIsSparedDuringFlood) {
  Fixture fixture(3);
  const Id first = fixture.Open(ConnectionPhase::kReadingHead, kStart);
  fixture.Open(ConnectionPhase::kReadingHead, kStart + seconds(1));
  fixture.Open(ConnectionPhase::kReadingHead, kStart + seconds(2));
  fixture.Open(ConnectionPhase::kIdle, kLater);
  BOOST_TEST((fixture.limiter.ChooseVictim(kLater) == first));
}

BOOST_AUTO_TEST_CASE(RequestsInProgressAreNeverClosed) {
  Fixture fixture(1, 10);
  fixture.Open(ConnectionPhase::kResponding, kStart, 100);
  fixture.Open(ConnectionPhase::kResponding, kStart, 100);
  BOOST_TEST(fixture.limiter.IsOverLimit());
  BOOST_TEST(!fixture.limiter.ChooseVictim(kLater).has_value());
  const Id newest = fixture.Open(ConnectionPhase::kIdle, kLater);
  BOOST_TEST((fixture.limiter.ChooseVictim(kLater) == newest));
}

// A client that does not read its response must not hold a place for ever.
BOOST_AUTO_TEST_CASE(UnreadResponsesAreClosedLast) {
  Fixture fixture(1);
  const Id unread = fixture.Open(ConnectionPhase::kDelivering, kStart);
  const Id body = fixture.Open(ConnectionPhase::kReadingBody, kStart, 10);
  fixture.Open(ConnectionPhase::kResponding, kStart);
  const std::vector<Id> expected = {body, unread};
  BOOST_TEST(fixture.CloseUntilWithinLimits(kLater) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ShortageOfMemoryClosesOnlyConnectionsThatHoldSome) {
  Fixture fixture(100, 1000);
  fixture.Open(ConnectionPhase::kIdle, kStart);
  fixture.Open(ConnectionPhase::kReadingBody, kStart, 400);
  const Id largest = fixture.Open(ConnectionPhase::kReadingBody, kStart, 700);
  const std::vector<Id> expected = {largest};
  BOOST_TEST(fixture.CloseUntilWithinLimits(kLater) == expected,
             boost::test_tools::per_element());
  BOOST_TEST(fixture.limiter.connections() == 2U);
  BOOST_TEST(fixture.limiter.reading_bytes() == 400U);
}

BOOST_AUTO_TEST_CASE(BytesAreReplacedAndReleased) {
  Fixture fixture(100, 1000);
  const Id id = fixture.Open(ConnectionPhase::kReadingBody, kStart, 400);
  fixture.limiter.SetReadingBytes(id, 600);
  BOOST_TEST(fixture.limiter.reading_bytes() == 600U);
  fixture.limiter.Close(id);
  BOOST_TEST(fixture.limiter.reading_bytes() == 0U);
}

// The smallest host of today's deployments must allow many times the largest
// request that a client within the limits sends.
BOOST_AUTO_TEST_CASE(LimitsFitTheHost) {
  const ConnectionLimits limits = LimitsForHost(88U << 20U, 3075);
  BOOST_TEST(limits.max_connections == 1537U);
  BOOST_TEST(limits.max_reading_bytes == 22U << 20U);
  BOOST_TEST(limits.max_reading_bytes > 5 * (4U << 20U));
  const ConnectionLimits defaults = LimitsForHost(std::nullopt, std::nullopt);
  BOOST_TEST(defaults.max_connections == ConnectionLimits().max_connections);
}

}  // namespace
}  // namespace coltsfootfork

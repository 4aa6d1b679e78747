#include "coltsfootfork/core/fleet/incarnation_resolver.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{std::chrono::seconds(100)};
constexpr milliseconds kInterval{1200};

struct Fixture {
  // Returns whether the directory changed.
  bool Heartbeat(std::uint64_t incarnation, std::uint64_t sequence,
                 ServerState state = ServerState::kReady) {
    ServerRecord record;
    record.id = ServerId("a");
    record.incarnation = incarnation;
    record.sequence = sequence;
    record.service = ServiceId("s");
    record.address = "10.0.0.1:80";
    record.state = state;
    return directory.Merge(
        resolver.Resolve(record, directory.Find(record.id), now), now);
  }
  const ServerRecord& Known() const {
    return directory.Find(ServerId("a"))->record;
  }

  ServerDirectory directory;
  IncarnationResolver resolver;
  Time now = kNow;
};

// Guards against a server that gets no calls because its clock was set back
// before it restarted.
BOOST_AUTO_TEST_CASE(RestartAfterClockWasSetBackIsRecognized) {
  Fixture fixture;
  fixture.Heartbeat(5000, 9);
  bool changed = false;
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    fixture.now += kInterval;
    changed = fixture.Heartbeat(3000, sequence);
    if (sequence < 3) BOOST_TEST(!changed);
  }
  BOOST_TEST(changed);
  BOOST_TEST(fixture.Known().incarnation == 5001U);
  BOOST_TEST(fixture.Known().reported_incarnation == 3000U);
  // Its further reports apply to the new incarnation.
  BOOST_TEST(fixture.Heartbeat(3000, 4, ServerState::kDraining));
  BOOST_CHECK(fixture.Known().state == ServerState::kDraining);
}

// Heartbeats that a partition held up arrive together after it has healed.
BOOST_AUTO_TEST_CASE(DelayedHeartbeatsDoNotRestoreDeadIncarnation) {
  Fixture fixture;
  fixture.Heartbeat(5000, 9);
  for (std::uint64_t sequence = 1; sequence <= 8; ++sequence) {
    fixture.now += milliseconds(200);
    BOOST_TEST(!fixture.Heartbeat(3000, sequence));
  }
  BOOST_TEST(fixture.Known().incarnation == 5000U);
}

BOOST_AUTO_TEST_CASE(RepeatedCopiesAreNoEvidence) {
  Fixture fixture;
  fixture.Heartbeat(5000, 9);
  for (int i = 0; i < 8; ++i) {
    fixture.now += kInterval;
    BOOST_TEST(!fixture.Heartbeat(3000, 7));
  }
}

// Guards against calls to a server that has deregistered, after heartbeats of
// its incarnation before arrived late, one by one.
BOOST_AUTO_TEST_CASE(ReplacedIncarnationIsNotRestored) {
  Fixture fixture;
  fixture.Heartbeat(3000, 41);
  fixture.Heartbeat(5000, 1);
  fixture.directory.MarkRemoved(ServerId("a"), 5000, fixture.now);
  for (std::uint64_t sequence = 42; sequence <= 50; ++sequence) {
    fixture.now += kInterval;
    BOOST_TEST(!fixture.Heartbeat(3000, sequence));
  }
  BOOST_TEST(fixture.Known().incarnation == 5000U);
  BOOST_CHECK(fixture.Known().state == ServerState::kRemoved);
  // A restart after the clock was set back is a new incarnation.
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    fixture.now += kInterval;
    fixture.Heartbeat(4000, sequence);
  }
  BOOST_TEST(fixture.Known().reported_incarnation == 4000U);
  BOOST_CHECK(fixture.Known().state == ServerState::kReady);
}

// Incarnations are remembered by the start time that their heartbeats have.
BOOST_AUTO_TEST_CASE(IncarnationReplacedAfterClockWasSetBackIsNotRestored) {
  Fixture fixture;
  for (const std::uint64_t incarnation : {5000, 3000, 2000}) {
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
      fixture.now += kInterval;
      fixture.Heartbeat(incarnation, sequence);
    }
  }
  BOOST_TEST(fixture.Known().reported_incarnation == 2000U);
  for (const std::uint64_t incarnation : {5000, 3000}) {
    for (std::uint64_t sequence = 4; sequence <= 8; ++sequence) {
      fixture.now += kInterval;
      BOOST_TEST(!fixture.Heartbeat(incarnation, sequence));
    }
  }
}

BOOST_AUTO_TEST_CASE(FewReplacedIncarnationsAreRemembered) {
  Fixture fixture;
  for (std::uint64_t incarnation = 1; incarnation <= 20; ++incarnation) {
    fixture.Heartbeat(incarnation, 1);
  }
  const auto& earlier = fixture.directory.Find(ServerId("a"))->earlier;
  BOOST_TEST(earlier.size() == ServerDirectory::kMaxEarlier);
  BOOST_TEST(earlier.back() == 19U);
}

// A drain of the incarnation before the restart arrives late.
BOOST_AUTO_TEST_CASE(LateDrainOfEarlierIncarnationDoesNotApply) {
  Fixture fixture;
  fixture.Heartbeat(5000, 9);
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    fixture.now += kInterval;
    fixture.Heartbeat(3000, sequence);
  }
  BOOST_TEST(!fixture.Heartbeat(5000, 10, ServerState::kDraining));
  BOOST_CHECK(fixture.Known().state == ServerState::kReady);
}

BOOST_AUTO_TEST_CASE(LaterStartTimeIsRecognizedAtOnce) {
  Fixture fixture;
  fixture.Heartbeat(5000, 9);
  fixture.now += kInterval;
  BOOST_TEST(fixture.Heartbeat(6000, 1));
  BOOST_TEST(fixture.Known().reported_incarnation == 0U);
}

}  // namespace
}  // namespace coltsfootfork

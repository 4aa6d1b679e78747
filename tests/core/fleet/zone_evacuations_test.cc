#include "coltsfootfork/core/fleet/zone_evacuations.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace coltsfootfork {
namespace {

const ZoneId kZone("z1");

bool IsEvacuated(const ZoneEvacuations& state, const ZoneId& zone) {
  const std::vector<ZoneId> zones = state.Evacuated().zones;
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

BOOST_AUTO_TEST_CASE(StartAndEndApplyInOrder) {
  ZoneEvacuations state;
  BOOST_CHECK(state.Apply({kZone, true, 0}) == EvacuationOutcome::kApplied);
  BOOST_TEST(IsEvacuated(state, kZone));
  BOOST_CHECK(state.Apply({kZone, false, 1}) == EvacuationOutcome::kApplied);
  BOOST_TEST(!IsEvacuated(state, kZone));
  BOOST_CHECK(state.Apply({kZone, true, 2}) == EvacuationOutcome::kApplied);
  BOOST_TEST(IsEvacuated(state, kZone));
  BOOST_TEST(state.revision() == 3U);
}

// Operators repeat an order until it is acknowledged.
BOOST_AUTO_TEST_CASE(RepeatedOrderIsAcknowledgedWithoutEffect) {
  ZoneEvacuations state;
  state.Apply({kZone, true, 0});
  BOOST_CHECK(state.Apply({kZone, true, 0}) == EvacuationOutcome::kUnchanged);
  BOOST_CHECK(state.Apply({kZone, true, 1}) == EvacuationOutcome::kUnchanged);
  BOOST_TEST(state.revision() == 1U);
  BOOST_CHECK(state.Apply({ZoneId("never"), false, 1}) ==
              EvacuationOutcome::kUnchanged);
}

// Guards against a copy of a start order that a process or a link held up
// until the evacuation had been ended.
BOOST_AUTO_TEST_CASE(DelayedCopyOfStartDoesNotEvacuateAgain) {
  ZoneEvacuations state;
  const EvacuationOrder start{kZone, true, 0};
  state.Apply(start);
  state.Apply({kZone, false, 1});
  BOOST_CHECK(state.Apply(start) == EvacuationOutcome::kOutdated);
  BOOST_TEST(!IsEvacuated(state, kZone));
}

BOOST_AUTO_TEST_CASE(DelayedCopyOfEndDoesNotEndLaterEvacuation) {
  ZoneEvacuations state;
  state.Apply({kZone, true, 0});
  const EvacuationOrder end{kZone, false, 1};
  state.Apply(end);
  state.Apply({kZone, true, 2});
  BOOST_CHECK(state.Apply(end) == EvacuationOutcome::kOutdated);
  BOOST_TEST(IsEvacuated(state, kZone));
}

// Up to eight orders are in progress at once; those of other zones must not
// make an order outdated.
BOOST_AUTO_TEST_CASE(OrdersOfOtherZonesDoNotConflict) {
  ZoneEvacuations state;
  for (int i = 0; i < 8; ++i) {
    const ZoneId zone("z" + std::to_string(i));
    BOOST_CHECK(state.Apply({zone, true, 0}) == EvacuationOutcome::kApplied);
  }
  BOOST_TEST(state.Evacuated().zones.size() == 8U);
}

// A replica that reopens its data folder replays commands into the state that
// it already has.
BOOST_AUTO_TEST_CASE(ReplayOfCommandsChangesNothing) {
  const std::vector<EvacuationOrder> log = {{kZone, true, 0},
                                            {kZone, false, 1},
                                            {kZone, true, 2},
                                            {ZoneId("z2"), true, 3},
                                            {kZone, false, 4}};
  ZoneEvacuations state;
  for (const EvacuationOrder& order : log) state.Apply(order);
  BOOST_TEST(state.revision() == 5U);
  for (const EvacuationOrder& order : log) state.Apply(order);
  BOOST_TEST(state.revision() == 5U);
  BOOST_TEST(!IsEvacuated(state, kZone));
  BOOST_TEST(IsEvacuated(state, ZoneId("z2")));
}

BOOST_AUTO_TEST_CASE(RestoredStateRejectsOutdatedOrders) {
  ZoneEvacuations state;
  state.Apply({kZone, true, 0});
  state.Apply({kZone, false, 1});
  ZoneEvacuations restored;
  restored.Restore(state.Changes());
  BOOST_TEST(restored.revision() == 2U);
  BOOST_CHECK(restored.Apply({kZone, true, 0}) == EvacuationOutcome::kOutdated);
}

BOOST_AUTO_TEST_CASE(NumberOfZonesIsBounded) {
  ZoneEvacuations state;
  for (std::size_t i = 0; i < ZoneEvacuations::kMaxZones; ++i) {
    state.Apply({ZoneId("z" + std::to_string(i)), true, state.revision()});
  }
  BOOST_CHECK(state.Apply({ZoneId("more"), true, state.revision()}) ==
              EvacuationOutcome::kTooManyZones);
  BOOST_CHECK(state.Apply({ZoneId("z0"), false, state.revision()}) ==
              EvacuationOutcome::kApplied);
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/fleet_state_machine.h"

#include <boost/test/unit_test.hpp>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {
namespace {

std::string PlanCommand(std::uint64_t version) {
  return PlanStateMachine::EncodeCommand({version, "text"});
}

std::string Start(const std::string& zone, std::uint64_t known_revision) {
  return FleetStateMachine::EncodeCommand({ZoneId(zone), true, known_revision});
}

BOOST_AUTO_TEST_CASE(CommandsReachTheirPartOfTheState) {
  int plans = 0;
  int evacuations = 0;
  FleetStateMachine state({[&] { ++plans; }, [&] { ++evacuations; }});
  state.Apply(PlanCommand(3));
  const std::string reply = state.Apply(Start("z1", 0));
  BOOST_CHECK(FleetStateMachine::DecodeReply(reply) ==
              EvacuationOutcome::kApplied);
  BOOST_CHECK(FleetStateMachine::DecodeReply(state.Apply(Start("z1", 0))) ==
              EvacuationOutcome::kUnchanged);
  BOOST_TEST(plans == 1);
  BOOST_TEST(evacuations == 1);
  BOOST_TEST(state.plan().document().version == 3U);
  BOOST_TEST(state.evacuations().Evacuated().zones.size() == 1U);
}

// Processes of earlier versions must be able to read the snapshots of a fleet
// that never evacuated a zone.
BOOST_AUTO_TEST_CASE(SnapshotWithoutEvacuationsIsThatOfThePlan) {
  FleetStateMachine state({});
  state.Apply(PlanCommand(3));
  PlanStateMachine earlier_version(nullptr);
  earlier_version.Restore(state.Snapshot());
  BOOST_TEST(earlier_version.document().version == 3U);
  FleetStateMachine restored({});
  restored.Restore(earlier_version.Snapshot());
  BOOST_TEST(restored.plan().document().version == 3U);
  BOOST_TEST(restored.evacuations().revision() == 0U);
}

BOOST_AUTO_TEST_CASE(SnapshotRestoresPlanAndEvacuations) {
  FleetStateMachine state({});
  state.Apply(PlanCommand(3));
  state.Apply(Start("z1", 0));
  state.Apply(Start("z2", 1));
  int changes = 0;
  FleetStateMachine restored({nullptr, [&] { ++changes; }});
  restored.Restore(state.Snapshot());
  BOOST_TEST(restored.plan().document().version == 3U);
  BOOST_TEST(restored.evacuations().revision() == 2U);
  BOOST_TEST(restored.evacuations().Evacuated().zones.size() == 2U);
  BOOST_TEST(changes == 1);
  // An older snapshot does not replace newer state.
  restored.Restore(FleetStateMachine({}).Snapshot());
  BOOST_TEST(restored.evacuations().revision() == 2U);
}

BOOST_AUTO_TEST_CASE(DigestCarriesEvacuatedZones) {
  ControlDigest digest;
  digest.evacuated = EvacuatedZones{4, {ZoneId("z1")}};
  const auto decoded = DecodeFleetMessage(EncodeFleetMessage(digest));
  BOOST_REQUIRE(decoded.has_value());
  const auto& evacuated = std::get<ControlDigest>(*decoded).evacuated;
  BOOST_REQUIRE(evacuated.has_value());
  BOOST_TEST(evacuated->revision == 4U);
  BOOST_REQUIRE(evacuated->zones.size() == 1U);
  BOOST_TEST(evacuated->zones[0] == ZoneId("z1"));
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/plan_state_machine.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

std::string Command(std::uint64_t version, const std::string& text) {
  return PlanStateMachine::EncodeCommand({version, text});
}

BOOST_AUTO_TEST_CASE(HighestVersionIsInForce) {
  int changes = 0;
  PlanStateMachine plan([&] { ++changes; });
  plan.Apply(Command(7, "seven"));
  plan.Apply(Command(5, "late"));
  BOOST_TEST(plan.document().version == 7U);
  BOOST_TEST(plan.document().text == "seven");
  plan.Apply(Command(12, "twelve"));
  BOOST_TEST(plan.document().text == "twelve");
  BOOST_TEST(changes == 2);
}

BOOST_AUTO_TEST_CASE(DifferentTextUnderSameVersionIsIgnored) {
  PlanStateMachine plan(nullptr);
  plan.Apply(Command(7, "seven"));
  plan.Apply(Command(7, "other"));
  BOOST_TEST(plan.document().text == "seven");
}

BOOST_AUTO_TEST_CASE(SnapshotRestoresState) {
  PlanStateMachine plan(nullptr);
  plan.Apply(Command(7, std::string("\x00 bytes", 7)));
  PlanStateMachine restored(nullptr);
  restored.Restore(plan.Snapshot());
  BOOST_TEST(restored.document().version == 7U);
  BOOST_TEST(restored.document().text == plan.document().text);
}

}  // namespace
}  // namespace coltsfootfork

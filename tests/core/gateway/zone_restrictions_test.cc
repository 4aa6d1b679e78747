#include "coltsfootfork/core/gateway/zone_restrictions.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
const RegionId kNorth("north");
const RegionId kSouth("south");

ZoneRestrictions TwoRegions() {
  return ZoneRestrictions({{ZoneId("n1"), kNorth}, {ZoneId("s1"), kSouth}});
}

BOOST_AUTO_TEST_CASE(RouteAndWorkspaceBothRestrict) {
  BOOST_TEST(!CombineRegions({}, {}).has_value());
  BOOST_TEST((CombineRegions({kNorth}, {}) == AllowedRegions({kNorth})));
  BOOST_TEST((CombineRegions({}, {kSouth}) == AllowedRegions({kSouth})));
  BOOST_TEST(
      (CombineRegions({kNorth, kSouth}, {kSouth}) == AllowedRegions({kSouth})));
  // No region satisfies both: the call may run nowhere.
  const AllowedRegions none = CombineRegions({kNorth}, {kSouth});
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST(none->empty());
  BOOST_TEST(!TwoRegions().Allows(ZoneId("n1"), none));
}

// Guards data residency: a zone of an unknown region may be anywhere.
BOOST_AUTO_TEST_CASE(RestrictedCallUsesOnlyZonesOfItsRegions) {
  const ZoneRestrictions zones = TwoRegions();
  const AllowedRegions north = CombineRegions({kNorth}, {});
  BOOST_TEST(zones.Allows(ZoneId("n1"), north));
  BOOST_TEST(!zones.Allows(ZoneId("s1"), north));
  BOOST_TEST(!zones.Allows(ZoneId("unknown"), north));
  BOOST_TEST(zones.Allows(ZoneId("unknown"), std::nullopt));
}

BOOST_AUTO_TEST_CASE(EvacuatedZoneIsUsedByNoCall) {
  ZoneRestrictions zones = TwoRegions();
  zones.SetEvacuated({ZoneId("n1")}, kNow);
  BOOST_TEST(!zones.Allows(ZoneId("n1"), std::nullopt));
  BOOST_TEST(zones.Allows(ZoneId("s1"), std::nullopt));
  // A later change keeps the time at which the evacuation was learned.
  zones.SetEvacuated({ZoneId("n1"), ZoneId("s1")},
                     kNow + std::chrono::seconds(3));
  BOOST_TEST((zones.EvacuatedSince(ZoneId("n1")) == kNow));
  zones.SetEvacuated({}, kNow + std::chrono::seconds(5));
  BOOST_TEST(zones.Allows(ZoneId("n1"), std::nullopt));
  BOOST_TEST(!zones.EvacuatedSince(ZoneId("n1")).has_value());
}

}  // namespace
}  // namespace coltsfootfork

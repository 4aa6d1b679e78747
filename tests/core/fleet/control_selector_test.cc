#include "coltsfootfork/core/fleet/control_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace coltsfootfork {
namespace {

using Role = ControlSelector::Role;

constexpr Time kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kSeed = 3;

// Two processes in each of three zones, the first with a disk.
ControlSelector Selector(const std::string& zone, std::uint64_t seed = kSeed) {
  ControlSelector selector{ZoneId(zone), seed};
  for (const char* one : {"a", "b", "c"}) {
    selector.Know(std::string(one) + "1", {ZoneId(one), true});
    selector.Know(std::string(one) + "2", {ZoneId(one), false});
  }
  return selector;
}

BOOST_AUTO_TEST_CASE(TheFirstIsOfTheOwnZoneAndTheSecondOfAnother) {
  ControlSelector selector = Selector("b");
  BOOST_TEST(selector.Choose(Role::kNear, "", kNow) == "b1");
  const std::string far = selector.Choose(Role::kFar, "b1", kNow);
  BOOST_TEST((far == "a1" || far == "c1"));
}

BOOST_AUTO_TEST_CASE(EntriesOfAZoneSpreadOverItsEquals) {
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    ControlSelector selector = Selector("b", seed);
    selector.Know("b3", {ZoneId("b"), true});
    ++chosen[selector.Choose(Role::kNear, "", kNow)];
    ++chosen[selector.Choose(Role::kFar, "b1", kNow)];
  }
  BOOST_TEST(chosen["b1"] > 30);
  BOOST_TEST(chosen["b3"] > 30);
  BOOST_TEST(chosen["a1"] > 30);
  BOOST_TEST(chosen["c1"] > 30);
}

BOOST_AUTO_TEST_CASE(OneThatWasLeftIsPassedOverForLongerEachTime) {
  ControlSelector selector = Selector("b");
  Time now = kNow;
  for (const int seconds : {1, 2, 4, 8, 8}) {
    selector.OnLeft("b1", now);
    now += std::chrono::seconds(seconds);
    BOOST_TEST(selector.Choose(Role::kNear, "",
                               now - std::chrono::milliseconds(1)) != "b1");
    BOOST_TEST(selector.Choose(Role::kNear, "", now) == "b1");
  }
  selector.OnGood("b1");
  selector.OnLeft("b1", now);
  BOOST_TEST(selector.Choose(Role::kNear, "", now + std::chrono::seconds(1)) ==
             "b1");
}

BOOST_AUTO_TEST_CASE(ABetterOneIsFoundOnceItIsThere) {
  ControlSelector selector{ZoneId("b"), kSeed};
  selector.Know("seed");
  BOOST_TEST(selector.Choose(Role::kNear, "", kNow) == "seed");
  BOOST_TEST(!selector.HasBetter(Role::kNear, "seed", "", kNow));
  selector.Know("b1", {ZoneId("b"), true});
  BOOST_TEST(selector.HasBetter(Role::kNear, "seed", "", kNow));
  BOOST_TEST(!selector.HasBetter(Role::kNear, "b1", "", kNow));
  selector.OnLeft("b1", kNow);
  BOOST_TEST(!selector.HasBetter(Role::kNear, "seed", "", kNow));
}

BOOST_AUTO_TEST_CASE(WithAllPassedOverNoneIsChosen) {
  ControlSelector selector{ZoneId("b"), kSeed};
  selector.Know("seed");
  selector.OnLeft("seed", kNow);
  BOOST_TEST(selector.Choose(Role::kNear, "", kNow) == "");
}

}  // namespace
}  // namespace coltsfootfork

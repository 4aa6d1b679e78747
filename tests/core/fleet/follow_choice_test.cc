#include "coltsfootfork/core/fleet/follow_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace coltsfootfork {
namespace {

using Role = FollowChoice::Role;

constexpr Time kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kSeed = 3;

// Two processes in each of three zones, the first with a disk.
FollowChoice Choice(const std::string& zone, std::uint64_t seed = kSeed) {
  FollowChoice choice{ZoneId(zone), seed};
  for (const char* one : {"a", "b", "c"}) {
    choice.Know(std::string(one) + "1", {ZoneId(one), true});
    choice.Know(std::string(one) + "2", {ZoneId(one), false});
  }
  return choice;
}

BOOST_AUTO_TEST_CASE(TheFirstIsOfTheOwnZoneAndTheSecondOfAnother) {
  FollowChoice choice = Choice("b");
  BOOST_TEST(choice.Choose(Role::kNear, "", kNow) == "b1");
  const std::string far = choice.Choose(Role::kFar, "b1", kNow);
  BOOST_TEST((far == "a1" || far == "c1"));
}

BOOST_AUTO_TEST_CASE(EntriesOfAZoneSpreadOverItsEquals) {
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    FollowChoice choice = Choice("b", seed);
    choice.Know("b3", {ZoneId("b"), true});
    ++chosen[choice.Choose(Role::kNear, "", kNow)];
    ++chosen[choice.Choose(Role::kFar, "b1", kNow)];
  }
  BOOST_TEST(chosen["b1"] > 30);
  BOOST_TEST(chosen["b3"] > 30);
  BOOST_TEST(chosen["a1"] > 30);
  BOOST_TEST(chosen["c1"] > 30);
}

BOOST_AUTO_TEST_CASE(OneThatWasLeftIsPassedOverForLongerEachTime) {
  FollowChoice choice = Choice("b");
  Time now = kNow;
  for (const int seconds : {1, 2, 4, 8, 8}) {
    choice.OnLeft("b1", now);
    now += std::chrono::seconds(seconds);
    BOOST_TEST(choice.Choose(Role::kNear, "",
                             now - std::chrono::milliseconds(1)) != "b1");
    BOOST_TEST(choice.Choose(Role::kNear, "", now) == "b1");
  }
  choice.OnGood("b1");
  choice.OnLeft("b1", now);
  BOOST_TEST(choice.Choose(Role::kNear, "", now + std::chrono::seconds(1)) ==
             "b1");
}

BOOST_AUTO_TEST_CASE(ABetterOneIsFoundOnceItIsThere) {
  FollowChoice choice{ZoneId("b"), kSeed};
  choice.Know("seed");
  BOOST_TEST(choice.Choose(Role::kNear, "", kNow) == "seed");
  BOOST_TEST(!choice.HasBetter(Role::kNear, "seed", "", kNow));
  choice.Know("b1", {ZoneId("b"), true});
  BOOST_TEST(choice.HasBetter(Role::kNear, "seed", "", kNow));
  BOOST_TEST(!choice.HasBetter(Role::kNear, "b1", "", kNow));
  choice.OnLeft("b1", kNow);
  BOOST_TEST(!choice.HasBetter(Role::kNear, "seed", "", kNow));
}

BOOST_AUTO_TEST_CASE(WithAllPassedOverNoneIsChosen) {
  FollowChoice choice{ZoneId("b"), kSeed};
  choice.Know("seed");
  choice.OnLeft("seed", kNow);
  BOOST_TEST(choice.Choose(Role::kNear, "", kNow) == "");
}

}  // namespace
}  // namespace coltsfootfork

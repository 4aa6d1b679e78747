#include "coltsfootfork/core/fleet/control_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace coltsfootfork {
namespace {

using Role = ControlSelector::Role;

constexpr Time kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kSeed = 3;

// Two processes in each of three zones; the first of each has a disk.
ControlSelector Selector(const std::string& zone, std::uint64_t seed = kSeed) {
  ControlSelector selector{ZoneId(zone), seed};
  for (const char* candidate_zone : {"a", "b", "c"}) {
    selector.AddCandidate(std::string(candidate_zone) + "1",
                          {ZoneId(candidate_zone), true});
    selector.AddCandidate(std::string(candidate_zone) + "2",
                          {ZoneId(candidate_zone), false});
  }
  return selector;
}

BOOST_AUTO_TEST_CASE(SelectsSameZoneFirstAndOtherZoneSecond) {
  ControlSelector selector = Selector("b");
  BOOST_TEST(selector.Choose(Role::kSameZone, "", kNow) == "b1");
  const std::string other_zone = selector.Choose(Role::kOtherZone, "b1", kNow);
  BOOST_TEST((other_zone == "a1" || other_zone == "c1"));
}

BOOST_AUTO_TEST_CASE(EntriesSpreadOverEqualCandidates) {
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    ControlSelector selector = Selector("b", seed);
    selector.AddCandidate("b3", {ZoneId("b"), true});
    ++chosen[selector.Choose(Role::kSameZone, "", kNow)];
    ++chosen[selector.Choose(Role::kOtherZone, "b1", kNow)];
  }
  BOOST_TEST(chosen["b1"] > 30);
  BOOST_TEST(chosen["b3"] > 30);
  BOOST_TEST(chosen["a1"] > 30);
  BOOST_TEST(chosen["c1"] > 30);
}

BOOST_AUTO_TEST_CASE(BackoffDoublesWithEachFailure) {
  ControlSelector selector = Selector("b");
  Time now = kNow;
  for (const int seconds : {1, 2, 4, 8, 8}) {
    selector.OnUnhealthy("b1", now);
    now += std::chrono::seconds(seconds);
    BOOST_TEST(selector.Choose(Role::kSameZone, "",
                               now - std::chrono::milliseconds(1)) != "b1");
    BOOST_TEST(selector.Choose(Role::kSameZone, "", now) == "b1");
  }
  selector.OnHealthy("b1");
  selector.OnUnhealthy("b1", now);
  BOOST_TEST(selector.Choose(Role::kSameZone, "",
                             now + std::chrono::seconds(1)) == "b1");
}

BOOST_AUTO_TEST_CASE(BetterCandidateIsFoundOnceAdded) {
  ControlSelector selector{ZoneId("b"), kSeed};
  selector.AddCandidate("seed");
  BOOST_TEST(selector.Choose(Role::kSameZone, "", kNow) == "seed");
  BOOST_TEST(!selector.HasBetterCandidate(Role::kSameZone, "seed", "", kNow));
  selector.AddCandidate("b1", {ZoneId("b"), true});
  BOOST_TEST(selector.HasBetterCandidate(Role::kSameZone, "seed", "", kNow));
  BOOST_TEST(!selector.HasBetterCandidate(Role::kSameZone, "b1", "", kNow));
  selector.OnUnhealthy("b1", kNow);
  BOOST_TEST(!selector.HasBetterCandidate(Role::kSameZone, "seed", "", kNow));
}

BOOST_AUTO_TEST_CASE(NoneIsChosenWhileAllBackOff) {
  ControlSelector selector{ZoneId("b"), kSeed};
  selector.AddCandidate("seed");
  selector.OnUnhealthy("seed", kNow);
  BOOST_TEST(selector.Choose(Role::kSameZone, "", kNow) == "");
}

}  // namespace
}  // namespace coltsfootfork

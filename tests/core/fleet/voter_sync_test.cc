#include "coltsfootfork/core/fleet/voter_sync.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(AMajorityLatelyInStepMakesItCurrent) {
  VoterSync sync("a");
  sync.SetVoters({"a", "b", "c"});
  BOOST_TEST(!sync.IsCurrent(kNow));
  sync.OnInStep("b", kNow);
  BOOST_TEST(sync.IsCurrent(kNow));
  BOOST_TEST(!sync.IsCurrent(kNow + VoterSync::kCounts));
}

BOOST_AUTO_TEST_CASE(OneThatDoesNotVoteNeedsAMajorityOfTheVoters) {
  VoterSync sync("x");
  sync.SetVoters({"a", "b", "c"});
  sync.OnInStep("a", kNow);
  sync.OnInStep("y", kNow);
  BOOST_TEST(!sync.IsCurrent(kNow));
  sync.OnInStep("c", kNow);
  BOOST_TEST(sync.IsCurrent(kNow));
}

BOOST_AUTO_TEST_CASE(HalfOfTheVotersIsNoMajority) {
  VoterSync sync("a");
  sync.SetVoters({"a", "b", "c", "d"});
  BOOST_TEST(!sync.IsMajority({"b"}));
  BOOST_TEST(sync.IsMajority({"b", "c"}));
}

}  // namespace
}  // namespace coltsfootfork

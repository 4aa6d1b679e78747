#include "coltsfootfork/core/fleet/quorum_tracker.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(IsCurrentWhileRecentlyInSyncWithMajority) {
  QuorumTracker quorum("a");
  quorum.SetVoters({"a", "b", "c"});
  BOOST_TEST(!quorum.IsCurrent(kNow));
  quorum.OnInSync("b", kNow);
  BOOST_TEST(quorum.IsCurrent(kNow));
  BOOST_TEST(!quorum.IsCurrent(kNow + QuorumTracker::kSyncValidity));
}

BOOST_AUTO_TEST_CASE(NonVoterNeedsMajorityOfVoters) {
  QuorumTracker quorum("x");
  quorum.SetVoters({"a", "b", "c"});
  quorum.OnInSync("a", kNow);
  quorum.OnInSync("y", kNow);
  BOOST_TEST(!quorum.IsCurrent(kNow));
  quorum.OnInSync("c", kNow);
  BOOST_TEST(quorum.IsCurrent(kNow));
}

BOOST_AUTO_TEST_CASE(HalfOfVotersIsNoMajority) {
  QuorumTracker quorum("a");
  quorum.SetVoters({"a", "b", "c", "d"});
  BOOST_TEST(!quorum.IsMajority({"b"}));
  BOOST_TEST(quorum.IsMajority({"b", "c"}));
}

BOOST_AUTO_TEST_CASE(ProcessItselfCountsOnlyWhereListed) {
  QuorumTracker quorum("a");
  BOOST_TEST(!quorum.IncludesMajority({"a"}));
  quorum.SetVoters({"a", "b", "c"});
  BOOST_TEST(!quorum.IncludesMajority({"b"}));
  BOOST_TEST(quorum.IncludesMajority({"a", "b"}));
}

}  // namespace
}  // namespace coltsfootfork

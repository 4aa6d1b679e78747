#include "core/replication/fault_schedule.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

constexpr std::uint64_t kSeeds = 200;

BOOST_AUTO_TEST_CASE(NoScheduleBreaksAPromise) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const std::string& problem : RunFaultSchedule(seed).problems) {
      BOOST_ERROR("seed " << seed << ": " << problem);
    }
  }
}

// A leader lost its folder when only a learner had its latest entries: no voter
// could be elected without the learner's vote, and the learner never
// campaigned.
BOOST_AUTO_TEST_CASE(OnlyALearnerHasTheLatestEntries) {
  BOOST_TEST(RunFaultSchedule(4872).problems.empty());
}

BOOST_AUTO_TEST_CASE(ASeedGivesTheSameRunTwice) {
  const ScheduleResult first = RunFaultSchedule(1);
  const ScheduleResult second = RunFaultSchedule(1);
  BOOST_TEST(first.commands == second.commands);
  BOOST_TEST(first.voter_changes == second.voter_changes);
}

}  // namespace
}  // namespace coltsfootfork

#include "core/replication/fault_schedule.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

constexpr std::uint64_t kSeedCount = 200;

BOOST_AUTO_TEST_CASE(SchedulesViolateNoInvariant) {
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const std::string& problem : RunFaultSchedule(seed).problems) {
      BOOST_ERROR("seed " << seed << ": " << problem);
    }
  }
}

// The leader loses its data folder when only a learner has its latest entries.
// No voter can be elected without the learner's vote, so the learner must
// campaign.
BOOST_AUTO_TEST_CASE(LearnerWithTheLatestEntriesCampaigns) {
  BOOST_TEST(RunFaultSchedule(4872).problems.empty());
}

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameRun) {
  const ScheduleResult first = RunFaultSchedule(1);
  const ScheduleResult second = RunFaultSchedule(1);
  BOOST_TEST(first.commands == second.commands);
  BOOST_TEST(first.voter_changes == second.voter_changes);
}

}  // namespace
}  // namespace coltsfootfork

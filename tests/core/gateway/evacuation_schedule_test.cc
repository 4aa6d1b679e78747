#include "coltsfootfork/core/gateway/evacuation_schedule.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using Streams = std::vector<std::uint64_t>;

constexpr Time kNow{std::chrono::seconds(100)};
constexpr Time kUntil = kNow + milliseconds(2000);

// The load: a zone with many running streams is evacuated, and the transfers of
// all entries share the links and the memory of the other zones.
BOOST_AUTO_TEST_CASE(FewStreamsMigrateAtATime) {
  EvacuationSchedule schedule;
  schedule.Add({1, 2, 3, 4, 5}, kUntil);
  BOOST_TEST(schedule.Next(0, kNow) == Streams({1, 2}),
             boost::test_tools::per_element());
  BOOST_TEST(schedule.Next(2, kNow).empty());
  BOOST_TEST(schedule.Next(1, kNow) == Streams({3}),
             boost::test_tools::per_element());
  BOOST_TEST(schedule.Next(0, kNow) == Streams({4, 5}),
             boost::test_tools::per_element());
  BOOST_TEST(schedule.empty());
}

BOOST_AUTO_TEST_CASE(StreamsThatAreTooLateStayWhereTheyRun) {
  EvacuationSchedule schedule;
  schedule.Add({1, 2, 3}, kUntil);
  schedule.Next(0, kNow);
  BOOST_TEST(schedule.Next(0, kUntil).empty());
  BOOST_TEST(schedule.empty());
}

}  // namespace
}  // namespace coltsfootfork

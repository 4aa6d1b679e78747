#include "coltsfootfork/core/gateway/migration_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

EngineProfile Engine() {
  EngineProfile engine;
  engine.bytes_per_token = 163840;
  engine.link_megabits = 24000;
  return engine;
}

RunningCall Run(const std::string& id, std::uint64_t tokens) {
  return {RequestId(id), tokens};
}

// Nine streams of 3,500 tokens fill the 1.7 s of a link: each has its own turn,
// so that none stands still behind the copies of the others.
BOOST_AUTO_TEST_CASE(TurnsDoNotOverlapOnTheLink) {
  std::vector<RunningCall> runs;
  runs.reserve(9);
  for (int i = 0; i < 9; ++i) runs.push_back(Run(std::to_string(i), 3500));
  const MigrationSchedule schedule(runs, Engine());
  std::vector<Duration> turns;
  turns.reserve(runs.size());
  for (const RunningCall& run : runs)
    turns.push_back(schedule.CopyStartOf(run.id));
  std::sort(turns.begin(), turns.end());
  for (std::size_t i = 1; i < turns.size(); ++i) {
    BOOST_CHECK(turns[i] - turns[i - 1] > milliseconds(191));
  }
  BOOST_CHECK(turns.back() < milliseconds(1700));
}

// The link of a leaving engine, over which copies go in the order in which they
// are asked for. Entries act late, each by its own time. Gives back how long
// each stream stood still.
std::vector<Duration> PlayLink(const std::vector<RunningCall>& runs,
                               const std::vector<Duration>& late) {
  constexpr Duration kWhole = std::chrono::microseconds(180000);
  constexpr Duration kShort = milliseconds(6);
  const MigrationSchedule schedule(runs, Engine());
  struct Copy {
    Duration asked;
    std::size_t stream;
    bool is_stop;
  };
  std::vector<Copy> queue;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    queue.push_back({schedule.CopyStartOf(runs[i].id) + late[i], i, false});
  }
  std::vector<Duration> stood(runs.size());
  Duration free{0};
  while (!queue.empty()) {
    const auto next = std::min_element(
        queue.begin(), queue.end(),
        [](const Copy& a, const Copy& b) { return a.asked < b.asked; });
    const Copy copy = *next;
    queue.erase(next);
    free = std::max(free, copy.asked) + (copy.is_stop ? kShort : kWhole);
    if (copy.is_stop) {
      stood[copy.stream] = free - copy.asked;
      continue;
    }
    const Duration stop =
        schedule.StopTimeOf(runs[copy.stream].id) + late[copy.stream];
    queue.push_back({std::max(free, stop), copy.stream, true});
  }
  return stood;
}

// Found in espejo-vivo-large, scale-2: two in five of the streams that moved
// stood still for a whole copy of another one, above the longest pause that is
// in time.
BOOST_AUTO_TEST_CASE(NoStreamStandsStillBehindTheCopyOfAnother) {
  std::vector<RunningCall> runs;
  std::vector<Duration> late;
  for (int i = 0; i < 6; ++i) {
    runs.push_back(Run(std::to_string(i), 3300));
    late.push_back(milliseconds((i * 37) % 60));
  }
  for (const Duration stood : PlayLink(runs, late)) {
    BOOST_CHECK(stood < milliseconds(90));
  }
}

BOOST_AUTO_TEST_CASE(StopsComeWithinTheNotice) {
  std::vector<RunningCall> runs;
  runs.reserve(6);
  for (int i = 0; i < 6; ++i) runs.push_back(Run(std::to_string(i), 3300));
  const MigrationSchedule schedule(runs, Engine());
  for (const RunningCall& run : runs) {
    BOOST_CHECK(schedule.StopTimeOf(run.id) <= milliseconds(1300));
    BOOST_CHECK(schedule.StopTimeOf(run.id) >
                schedule.CopyStartOf(RequestId("5")));
  }
}

BOOST_AUTO_TEST_CASE(EveryEntryWorksOutTheSameOrder) {
  const std::vector<RunningCall> runs = {Run("b", 100), Run("a", 100),
                                         Run("c", 50)};
  std::vector<RunningCall> reversed(runs.rbegin(), runs.rend());
  const MigrationSchedule one(runs, Engine());
  const MigrationSchedule other(reversed, Engine());
  for (const RunningCall& run : runs) {
    BOOST_CHECK(one.CopyStartOf(run.id) == other.CopyStartOf(run.id));
  }
  BOOST_CHECK(one.CopyStartOf(RequestId("c")) == Duration(0));
}

BOOST_AUTO_TEST_CASE(AStreamThatIsNotListedComesLast) {
  const MigrationSchedule schedule({Run("a", 1000), Run("b", 2000)}, Engine());
  BOOST_CHECK(schedule.CopyStartOf(RequestId("new")) >
              schedule.CopyStartOf(RequestId("b")));
}

BOOST_AUTO_TEST_CASE(WithoutAListEveryoneMovesAtOnce) {
  BOOST_CHECK(MigrationSchedule().CopyStartOf(RequestId("a")) == Duration(0));
}

}  // namespace
}  // namespace coltsfootfork

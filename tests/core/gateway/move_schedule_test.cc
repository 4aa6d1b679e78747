#include "coltsfootfork/core/gateway/move_schedule.h"

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
  const MoveSchedule schedule(runs, Engine());
  std::vector<Duration> turns;
  turns.reserve(runs.size());
  for (const RunningCall& run : runs) turns.push_back(schedule.TurnOf(run.id));
  std::sort(turns.begin(), turns.end());
  for (std::size_t i = 1; i < turns.size(); ++i) {
    BOOST_CHECK(turns[i] - turns[i - 1] > milliseconds(191));
  }
  BOOST_CHECK(turns.back() < milliseconds(1700));
}

BOOST_AUTO_TEST_CASE(EveryEntryWorksOutTheSameOrder) {
  const std::vector<RunningCall> runs = {Run("b", 100), Run("a", 100),
                                         Run("c", 50)};
  std::vector<RunningCall> reversed(runs.rbegin(), runs.rend());
  const MoveSchedule one(runs, Engine());
  const MoveSchedule other(reversed, Engine());
  for (const RunningCall& run : runs) {
    BOOST_CHECK(one.TurnOf(run.id) == other.TurnOf(run.id));
  }
  BOOST_CHECK(one.TurnOf(RequestId("c")) == Duration(0));
}

BOOST_AUTO_TEST_CASE(AStreamThatIsNotListedComesLast) {
  const MoveSchedule schedule({Run("a", 1000), Run("b", 2000)}, Engine());
  BOOST_CHECK(schedule.TurnOf(RequestId("new")) >
              schedule.TurnOf(RequestId("b")));
}

BOOST_AUTO_TEST_CASE(WithoutAListEveryoneMovesAtOnce) {
  BOOST_CHECK(MoveSchedule().TurnOf(RequestId("a")) == Duration(0));
}

}  // namespace
}  // namespace coltsfootfork

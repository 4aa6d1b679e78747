#include "coltsfootfork/core/overload/stream_pacer.h"

#include <boost/test/unit_test.hpp>

// Guards against callers that read slowly: their streams are not read without
// end, are not left unread until the engine cuts them off, and end only if the
// caller makes no progress.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Action = StreamPacer::Action;

constexpr Time kStart{seconds(100)};
constexpr Time kPauseEnd = kStart + kDefaultMaxReadPause;
constexpr Time kBeforePauseEnd = kPauseEnd - milliseconds(1);
constexpr std::size_t kAllowed = 1000;

void Check(Action action, Action expected) {
  BOOST_TEST(static_cast<int>(action) == static_cast<int>(expected));
}

struct PausedStream {
  PausedStream() { Check(OnBacklog(1200, kStart), Action::kPause); }
  Action OnBacklog(std::size_t backlog, Time now,
                   std::size_t allowed = kAllowed) {
    return pacer.OnBacklog(backlog, allowed, now);
  }

  StreamPacer pacer;
};

BOOST_AUTO_TEST_CASE(BacklogWithinLimitIsRead) {
  StreamPacer pacer;
  Check(pacer.OnBacklog(kAllowed, kAllowed, kStart), Action::kRead);
  BOOST_TEST(!pacer.pause_ends_at().has_value());
}

BOOST_AUTO_TEST_CASE(PauseLastsUntilBacklogHasHalved) {
  PausedStream stream;
  BOOST_TEST((stream.pacer.pause_ends_at() == kPauseEnd));
  Check(stream.OnBacklog(601, kStart), Action::kPause);
  Check(stream.OnBacklog(600, kStart), Action::kRead);
  BOOST_TEST(!stream.pacer.pause_ends_at().has_value());
}

BOOST_AUTO_TEST_CASE(CallerThatReadsNothingIsEndedAfterPause) {
  PausedStream stream;
  Check(stream.OnBacklog(1200, kBeforePauseEnd), Action::kPause);
  Check(stream.OnBacklog(1200, kPauseEnd), Action::kEnd);
}

// The stream is read on before the engine would cut it off.
BOOST_AUTO_TEST_CASE(CallerThatReadsALittleKeepsItsStream) {
  PausedStream stream;
  Check(stream.OnBacklog(900, kBeforePauseEnd), Action::kPause);
  Check(stream.OnBacklog(900, kPauseEnd), Action::kRead);
  Check(stream.OnBacklog(1100, kPauseEnd), Action::kPause);
  BOOST_TEST(
      (stream.pacer.pause_ends_at() == kPauseEnd + kDefaultMaxReadPause));
}

// Other callers took the room meanwhile.
BOOST_AUTO_TEST_CASE(CallerThatReadsALittleIsEndedWhenBudgetHasShrunk) {
  PausedStream stream;
  Check(stream.OnBacklog(900, kPauseEnd, /*allowed=*/800), Action::kEnd);
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/held_answers.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr std::size_t kMost = 1000000;
constexpr std::size_t kAlways = 1000;
constexpr std::size_t kPiece = 100;

HeldAnswersOptions Options() { return {kMost, kAlways}; }

BOOST_AUTO_TEST_CASE(OneLargeAnswerIsTaken) {
  HeldAnswers held(Options());
  BOOST_TEST(held.Take(0, kMost / 5));
  BOOST_TEST(!held.Take(kMost / 5, kMost / 5));
  held.Release(kMost / 5);
  BOOST_TEST(held.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ManyThatNeverEndStayWithinTheBoundTogether) {
  HeldAnswers held(Options());
  std::vector<std::size_t> answers(200, 0);
  std::size_t taken = 1;
  while (taken > 0) {
    taken = 0;
    for (std::size_t& answer : answers) {
      if (!held.Take(answer, kPiece)) continue;
      answer += kPiece;
      ++taken;
    }
  }
  BOOST_TEST(held.bytes() <= kMost);
  // One more of a usual size is taken beside them.
  BOOST_TEST(held.Take(0, kAlways));
}

}  // namespace
}  // namespace coltsfootfork

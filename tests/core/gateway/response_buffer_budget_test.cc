#include "coltsfootfork/core/gateway/response_buffer_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr std::size_t kMost = 1000000;
constexpr std::size_t kAlways = 1000;
constexpr std::size_t kPiece = 100;

ResponseBufferOptions Options() { return {kMost, kAlways}; }

BOOST_AUTO_TEST_CASE(OneLargeAnswerIsTaken) {
  ResponseBufferBudget budget(Options());
  BOOST_TEST(budget.TryReserve(0, kMost / 5));
  BOOST_TEST(!budget.TryReserve(kMost / 5, kMost / 5));
  budget.Release(kMost / 5);
  BOOST_TEST(budget.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ManyThatNeverEndStayWithinTheBoundTogether) {
  ResponseBufferBudget budget(Options());
  std::vector<std::size_t> answers(200, 0);
  std::size_t taken = 1;
  while (taken > 0) {
    taken = 0;
    for (std::size_t& answer : answers) {
      if (!budget.TryReserve(answer, kPiece)) continue;
      answer += kPiece;
      ++taken;
    }
  }
  BOOST_TEST(budget.bytes() <= kMost);
  // One more of a usual size is taken beside them.
  BOOST_TEST(budget.TryReserve(0, kAlways));
}

}  // namespace
}  // namespace coltsfootfork

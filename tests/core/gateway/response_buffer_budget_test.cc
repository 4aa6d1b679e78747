#include "coltsfootfork/core/gateway/response_buffer_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace coltsfootfork {
namespace {

constexpr std::size_t kMaxTotalBytes = 1000000;
constexpr std::size_t kGuaranteedBytes = 1000;
constexpr std::size_t kChunkBytes = 100;

ResponseBufferOptions Options() { return {kMaxTotalBytes, kGuaranteedBytes}; }

BOOST_AUTO_TEST_CASE(OneLargeResponseFits) {
  ResponseBufferBudget budget(Options());
  BOOST_TEST(budget.TryReserve(0, kMaxTotalBytes / 5));
  BOOST_TEST(!budget.TryReserve(kMaxTotalBytes / 5, kMaxTotalBytes / 5));
  budget.Release(kMaxTotalBytes / 5);
  BOOST_TEST(budget.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ManyEndlessResponsesStayWithinTheLimit) {
  ResponseBufferBudget budget(Options());
  std::vector<std::size_t> responses(200, 0);
  std::size_t accepted = 1;
  while (accepted > 0) {
    accepted = 0;
    for (std::size_t& response : responses) {
      if (!budget.TryReserve(response, kChunkBytes)) continue;
      response += kChunkBytes;
      ++accepted;
    }
  }
  BOOST_TEST(budget.bytes() <= kMaxTotalBytes);
  // A response of the usual size still fits beside them.
  BOOST_TEST(budget.TryReserve(0, kGuaranteedBytes));
}

}  // namespace
}  // namespace coltsfootfork

#include "core/routing/prefix_hints.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using Blocks = std::vector<std::uint64_t>;

CacheHint Hint(std::uint64_t sequence, Blocks added, Blocks removed = {}) {
  return {ServerId("s"), sequence, std::move(added), std::move(removed)};
}

BOOST_AUTO_TEST_SUITE(PrefixHintsTest)

BOOST_AUTO_TEST_CASE(CountsLeadingBlocksOnly) {
  PrefixHints hints(100);
  hints.Apply(0, Hint(1, {1, 2, 4}));
  hints.Apply(1, Hint(1, {1}));
  BOOST_TEST(hints.MatchedBlocks(0, {1, 2, 3, 4}) == 2U);
  BOOST_TEST(hints.MatchedBlocks(0, {9, 1}) == 0U);
  BOOST_TEST(hints.MatchedBlocks(7, {1}) == 0U);
  BOOST_TEST(hints.ServersWithLongestPrefix({1, 2, 3}) ==
             std::vector<ServerIndex>{0});
  BOOST_TEST(hints.ServersWithLongestPrefix({1, 5}) ==
             (std::vector<ServerIndex>{0, 1}));
  BOOST_TEST(hints.ServersWithLongestPrefix({5}).empty());
}

BOOST_AUTO_TEST_CASE(LateAndDuplicateEventsAreIgnored) {
  PrefixHints hints(100);
  hints.Apply(0, Hint(4, {1}));
  hints.Apply(0, Hint(5, {}, {1}));
  hints.Apply(0, Hint(4, {1}));
  BOOST_TEST(hints.MatchedBlocks(0, {1}) == 0U);
}

BOOST_AUTO_TEST_CASE(SequenceGapClearsTheBlocksOfTheServer) {
  PrefixHints hints(100);
  hints.Apply(0, Hint(1, {1, 2}));
  hints.Apply(1, Hint(1, {1, 2}));
  hints.AddExpected(0, {7});
  hints.Apply(0, Hint(3, {3}));
  BOOST_TEST(hints.MatchedBlocks(0, {1}) == 0U);
  BOOST_TEST(hints.MatchedBlocks(0, {7}) == 0U);
  BOOST_TEST(hints.MatchedBlocks(0, {3}) == 1U);
  BOOST_TEST(hints.MatchedBlocks(1, {1, 2}) == 2U);
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  PrefixHints hints(10);
  for (std::uint64_t block = 0; block < 1000; ++block) {
    hints.Apply(0, Hint(block + 1, {block}, {block / 2}));
  }
  BOOST_TEST(hints.size() <= 10U);
  BOOST_TEST(hints.MatchedBlocks(0, {999}) == 1U);
  hints.Forget(0);
  BOOST_TEST(hints.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork

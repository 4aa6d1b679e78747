#include "coltsfootfork/core/fleet/usage_feed.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

TotalUsage Sum(std::uint32_t entries, std::uint64_t tokens) {
  TotalUsage sum;
  sum.entries = entries;
  sum.load = {{1, {1, tokens, 0}}, {2, {2, 20, 5}}};
  sum.demand[{ServiceId("model"), 1}] = tokens;
  return sum;
}

bool IsSame(const TotalUsage& a, const TotalUsage& b) {
  return a.entries == b.entries && a.demand == b.demand &&
         ChangesOf(a.load, b.load).empty();
}

BOOST_AUTO_TEST_CASE(ChangesAreToldOnceAndTheRestNotAgain) {
  UsagePublisher feed;
  UsageReceiver heard;
  BOOST_TEST(heard.Apply(feed.NextDelta(Sum(3, 100)).value()));
  BOOST_TEST(!feed.NextDelta(Sum(3, 100)).has_value());
  const UsageReport second = feed.NextDelta(Sum(3, 200)).value();
  BOOST_TEST(second.load.size() == 4U);
  BOOST_TEST(heard.Apply(second));
  BOOST_TEST(IsSame(heard.sum(), Sum(3, 200)));
}

BOOST_AUTO_TEST_CASE(ALateReceiverGetsTheWholeAndThenChanges) {
  UsagePublisher feed;
  feed.NextDelta(Sum(3, 100));
  UsageReceiver heard;
  // What it held from another process is forgotten.
  heard.Apply({9, true, {7, 1, 1, 1}, {}});
  BOOST_TEST(heard.Apply(feed.FullReport()));
  BOOST_TEST(IsSame(heard.sum(), Sum(3, 100)));
  BOOST_TEST(heard.Apply(feed.NextDelta(Sum(4, 300)).value()));
  BOOST_TEST(IsSame(heard.sum(), Sum(4, 300)));
}

BOOST_AUTO_TEST_CASE(DamagedNumbersChangeNothing) {
  UsageReceiver heard;
  BOOST_TEST(!heard.Apply({9, true, {7, 1}, {}}));
  BOOST_TEST(heard.sum().entries == 0U);
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/usage_feed.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

TotalUsage UsageOf(std::uint32_t entries, std::uint64_t tokens) {
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

BOOST_AUTO_TEST_CASE(DeltaContainsOnlyChanges) {
  UsagePublisher publisher;
  UsageReceiver receiver;
  BOOST_TEST(receiver.Apply(publisher.NextDelta(UsageOf(3, 100)).value()));
  BOOST_TEST(!publisher.NextDelta(UsageOf(3, 100)).has_value());
  const UsageReport second = publisher.NextDelta(UsageOf(3, 200)).value();
  BOOST_TEST(second.load.size() == 4U);
  BOOST_TEST(receiver.Apply(second));
  BOOST_TEST(IsSame(receiver.sum(), UsageOf(3, 200)));
}

BOOST_AUTO_TEST_CASE(LateReceiverGetsFullReportThenDeltas) {
  UsagePublisher publisher;
  publisher.NextDelta(UsageOf(3, 100));
  UsageReceiver receiver;
  // The full report replaces the usage received from another process.
  receiver.Apply({9, true, {7, 1, 1, 1}, {}});
  BOOST_TEST(receiver.Apply(publisher.FullReport()));
  BOOST_TEST(IsSame(receiver.sum(), UsageOf(3, 100)));
  BOOST_TEST(receiver.Apply(publisher.NextDelta(UsageOf(4, 300)).value()));
  BOOST_TEST(IsSame(receiver.sum(), UsageOf(4, 300)));
}

BOOST_AUTO_TEST_CASE(MalformedReportChangesNothing) {
  UsageReceiver receiver;
  BOOST_TEST(!receiver.Apply({9, true, {7, 1}, {}}));
  BOOST_TEST(receiver.sum().entries == 0U);
}

}  // namespace
}  // namespace coltsfootfork

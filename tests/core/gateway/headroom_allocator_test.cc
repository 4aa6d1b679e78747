#include "coltsfootfork/core/gateway/headroom_allocator.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{std::chrono::seconds(100)};
const ServiceId kService("model");

BOOST_AUTO_TEST_CASE(SingleEntryMayUseAllHeadroom) {
  const HeadroomAllocator allocator;
  const HeadroomShare headroom_share =
      allocator.ShareFor(kService, 1, 3000, kNow);
  BOOST_TEST(headroom_share.share == 1.0);
  BOOST_TEST(headroom_share.urgent_tokens == 0U);
}

BOOST_AUTO_TEST_CASE(HeadroomIsSharedInProportionToDemand) {
  HeadroomAllocator allocator;
  allocator.SetOtherEntriesDemand({{{kService, 1}, 9000}});
  BOOST_TEST(allocator.ShareFor(kService, 1, 3000, kNow).share == 0.25);
  allocator.OnQueued(kService, 1, 6000);
  BOOST_TEST(allocator.ShareFor(kService, 1, 3000, kNow).share == 0.5);
  allocator.OnDequeued(kService, 1, 6000);
  BOOST_TEST(allocator.ShareFor(kService, 1, 3000, kNow).share == 0.25);
  // Demand for one service does not reduce the share of another.
  BOOST_TEST(allocator.ShareFor(ServiceId("other"), 1, 3000, kNow).share ==
             1.0);
}

BOOST_AUTO_TEST_CASE(UrgentDemandOfAllEntriesHasPriority) {
  HeadroomAllocator allocator;
  allocator.SetOtherEntriesDemand(
      {{{kService, 0}, 4000}, {{kService, 2}, 8000}});
  allocator.OnQueued(kService, 1, 1000);
  BOOST_TEST(allocator.ShareFor(kService, 0, 3000, kNow).urgent_tokens == 0U);
  BOOST_TEST(allocator.ShareFor(kService, 1, 0, kNow).urgent_tokens == 4000U);
  BOOST_TEST(allocator.ShareFor(kService, 2, 3000, kNow).urgent_tokens ==
             5000U);
}

BOOST_AUTO_TEST_CASE(RecentArrivalsPredictDemand) {
  HeadroomAllocator allocator;
  allocator.OnArrival(kService, 1, 3000, kNow);
  const auto soon = allocator.OwnDemand(kNow);
  BOOST_REQUIRE(soon.size() == 1U);
  BOOST_TEST(soon.begin()->second < 3000U);
  BOOST_TEST(allocator.OwnDemand(kNow + std::chrono::seconds(20)).empty());
}

}  // namespace
}  // namespace coltsfootfork

#include "coltsfootfork/core/overload/held_bytes_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

// Guards against callers and servers that read slowly: what is held for them
// together stays bounded, and ordinary calls are still admitted.
namespace coltsfootfork {
namespace {

using Purpose = HeldBytesPurpose;

constexpr std::size_t kMebibyte = 1U << 20U;
// A quarter of the memory of the smallest host.
constexpr std::size_t kLimit = 22 * kMebibyte;
// The largest request within the plan's limits.
constexpr std::size_t kLargestRequest = 4 * kMebibyte;

BOOST_AUTO_TEST_CASE(LimitFollowsFromMemoryOfHost) {
  BOOST_TEST(HeldBytesLimitForHost(88 * kMebibyte) == kLimit);
  BOOST_TEST(HeldBytesLimitForHost(std::nullopt) == 64 * kMebibyte);
}

BOOST_AUTO_TEST_CASE(BytesAreCountedByPurpose) {
  HeldBytesBudget budget(kLimit);
  budget.Add(Purpose::kRequest, 10);
  budget.Add(Purpose::kResponse, 20);
  budget.Add(Purpose::kDelivery, 30);
  budget.Remove(Purpose::kResponse, 5);
  BOOST_TEST(budget.bytes(Purpose::kRequest) == 10U);
  BOOST_TEST(budget.bytes(Purpose::kResponse) == 15U);
  BOOST_TEST(budget.bytes(Purpose::kDelivery) == 30U);
  BOOST_TEST(budget.total() == 55U);
}

BOOST_AUTO_TEST_CASE(ShareIsReturnedAtEndOfLife) {
  const auto budget = std::make_shared<HeldBytesBudget>(kLimit);
  {
    HeldBytes share(budget, Purpose::kDelivery);
    share.Set(100);
    share.Set(40);
    BOOST_TEST(budget->bytes(Purpose::kDelivery) == 40U);
  }
  BOOST_TEST(budget->total() == 0U);
}

// A single request within the plan's limits is served on a host of any size.
BOOST_AUTO_TEST_CASE(SingleRequestIsAdmittedOnSmallHost) {
  BOOST_TEST(HeldBytesBudget(kMebibyte).AdmitsRequest(kLargestRequest));
}

// A burst of the largest requests: some are admitted, and the others are
// refused while small requests still are admitted.
BOOST_AUTO_TEST_CASE(BurstOfLargeRequestsLeavesRoomForSmallOnes) {
  HeldBytesBudget budget(kLimit);
  int admitted = 0;
  while (budget.AdmitsRequest(kLargestRequest)) {
    budget.Add(Purpose::kRequest, kLargestRequest);
    ++admitted;
  }
  BOOST_TEST(admitted == 4);
  BOOST_TEST(budget.AdmitsRequest(HeldBytesBudget::kSmallRequestBytes));
}

// A flood of small requests is refused only when nothing is free.
BOOST_AUTO_TEST_CASE(FloodOfSmallRequestsStopsAtLimit) {
  constexpr std::size_t kRequest = 2000;
  HeldBytesBudget budget(kLimit);
  while (budget.AdmitsRequest(kRequest)) {
    budget.Add(Purpose::kRequest, kRequest);
  }
  BOOST_TEST(budget.total() >= kLimit);
  BOOST_TEST(budget.total() < kLimit + kRequest);
  budget.Remove(Purpose::kRequest, kRequest);
  BOOST_TEST(budget.AdmitsRequest(kRequest));
}

// In calm conditions, a slow caller may hold more than the largest usual
// stream.
BOOST_AUTO_TEST_CASE(SingleSlowCallerMayHoldAnEighth) {
  BOOST_TEST(HeldBytesBudget(kLimit).AllowedBacklog() == kLimit / 8);
}

// Hundreds of callers that read nothing.
BOOST_AUTO_TEST_CASE(ManySlowCallersLeaveRoomForRequests) {
  constexpr std::size_t kPiece = 16U << 10U;
  constexpr int kCallers = 200;
  HeldBytesBudget budget(kLimit);
  std::vector<std::size_t> backlogs(kCallers, 0);
  bool grew = true;
  while (grew) {
    grew = false;
    for (std::size_t& backlog : backlogs) {
      if (backlog + kPiece > budget.AllowedBacklog()) continue;
      backlog += kPiece;
      budget.Add(Purpose::kDelivery, kPiece);
      grew = true;
    }
  }
  BOOST_TEST(budget.total() < kLimit);
  BOOST_TEST(budget.AdmitsRequest(HeldBytesBudget::kSmallRequestBytes));
  for (const std::size_t backlog : backlogs) BOOST_TEST(backlog > 0U);
}

BOOST_AUTO_TEST_CASE(SlowCallerKeepsLeastBacklogWhenNothingIsFree) {
  HeldBytesBudget budget(kLimit);
  budget.Add(Purpose::kDelivery, 2 * kLimit);
  BOOST_TEST(budget.AllowedBacklog() == HeldBytesBudget::kMinBacklog);
  BOOST_TEST(!budget.AdmitsRequest(0));
}

}  // namespace
}  // namespace coltsfootfork

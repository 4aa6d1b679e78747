#include "core/scheduling/request_queue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <deque>
#include <string>

namespace coltsfootfork {
namespace {

using std::chrono::seconds;

QueuedRequest MakeQueued(const std::string& id, const std::string& workspace,
                         Rank rank = Rank::kUrgent,
                         seconds start_by = seconds(9),
                         const std::string& entry = "e1") {
  QueuedRequest request;
  request.entry = ProcessId(entry);
  request.dispatch.request = RequestId(id);
  request.dispatch.workspace = WorkspaceId(workspace);
  request.dispatch.rank = rank;
  request.start_by = Time(start_by);
  request.expected_tokens = 100;
  return request;
}

BOOST_AUTO_TEST_CASE(FullQueueDisplacesFromLongestFlowOnly) {
  RequestQueue queue(RankedFair{}, {3, 3});
  for (const char* id : {"l1", "l2", "l3"}) {
    BOOST_TEST(queue.Push(MakeQueued(id, "large"), 1, false).accepted);
  }
  BOOST_TEST(!queue.Push(MakeQueued("l4", "large"), 1, false).accepted);
  const Enqueued small = queue.Push(MakeQueued("s1", "small"), 1, false);
  BOOST_TEST(small.accepted);
  BOOST_TEST((small.displaced->dispatch.request == RequestId("l3")));
  BOOST_TEST(queue.size() == 3U);
}

BOOST_AUTO_TEST_CASE(RemovesExpiredRequestsAndThoseOfDisconnectedEntry) {
  RequestQueue queue(RankedFair{}, {});
  queue.Push(MakeQueued("soon", "w", Rank::kUrgent, seconds(2)), 1, false);
  queue.Push(MakeQueued("late", "w", Rank::kDeferrable, seconds(5)), 1, false);
  queue.Push(MakeQueued("other", "w", Rank::kUrgent, seconds(5), "e2"), 1,
             false);
  const auto overdue = queue.RemoveExpired(Time(seconds(2)));
  BOOST_TEST(overdue.size() == 1U);
  BOOST_TEST((overdue.at(0).dispatch.request == RequestId("soon")));
  BOOST_TEST(queue.RemoveByEntry(ProcessId("e2")).size() == 1U);
  BOOST_TEST((*queue.EarliestDeadline() == Time(seconds(5))));
  BOOST_TEST(queue.RemoveAll().size() == 1U);
  BOOST_TEST(!queue.EarliestDeadline().has_value());
}

// Serves a batch of 20 that generates one token per request and step, with 100
// steps per request; returns the deferrable rank's share of tokens.
double MeasureDeferrableShare(double floor) {
  RequestQueue queue(RankedFair{}, {100000, 100000});
  queue.SetFloor(floor);
  for (int i = 0; i < 20000; ++i) {
    const std::string id = std::to_string(i);
    queue.Push(MakeQueued("u" + id, "talk"), 1, false);
    queue.Push(MakeQueued("d" + id, "lots", Rank::kDeferrable), 1, false);
  }
  std::deque<Rank> batch;
  BatchShare share;
  double deferrable = 0;
  double all = 0;
  constexpr int kSteps = 20000;
  for (int step = 0; step < kSteps; ++step) {
    if (step % 5 == 0) {
      if (batch.size() == 20) {
        if (batch.front() == Rank::kDeferrable) --share.deferrable;
        batch.pop_front();
      }
      share.running = static_cast<std::uint32_t>(batch.size());
      const Rank rank = queue.SelectNext(share).rank;
      queue.PopHead(rank, 100);
      batch.push_back(rank);
      if (rank == Rank::kDeferrable) ++share.deferrable;
      ++share.running;
    }
    deferrable += share.deferrable;
    all += share.running;
    queue.CountOutputTokens(Rank::kDeferrable, share.deferrable);
    queue.CountOutputTokens(Rank::kUrgent, share.running - share.deferrable);
  }
  return deferrable / all;
}

BOOST_AUTO_TEST_CASE(FloorIsExactWhileBothRanksAreQueued) {
  for (const double floor : {0.0, 0.07, 0.1, 0.5}) {
    BOOST_TEST(std::abs(MeasureDeferrableShare(floor) - floor) < 0.001);
  }
}

BOOST_AUTO_TEST_CASE(UrgentRequestsStartFirstWithoutFloorDeficit) {
  RequestQueue queue(RankedFair{}, {});
  queue.SetFloor(0.1);
  queue.Push(MakeQueued("d", "lots", Rank::kDeferrable), 1, false);
  queue.Push(MakeQueued("u", "talk"), 1, false);
  BOOST_TEST((queue.SelectNext({0, 0}).rank == Rank::kUrgent));
  // The floor is one of ten batch slots.
  BOOST_TEST((queue.SelectNext({9, 0}).rank == Rank::kDeferrable));
  BOOST_TEST(queue.SelectNext({9, 0}).floor_due);
  BOOST_TEST((queue.SelectNext({9, 1}).rank == Rank::kUrgent));
}

BOOST_AUTO_TEST_CASE(BaselineServesInOrderOfArrival) {
  RequestQueue queue(FirstComeFirstServed{}, {});
  queue.Push(MakeQueued("d", "lots", Rank::kDeferrable), 1, false);
  queue.Push(MakeQueued("u", "talk"), 1, false);
  const Selection selection = queue.SelectNext({0, 0});
  const QueuedRequest first = queue.PopHead(selection.rank, 1);
  BOOST_TEST((first.dispatch.request == RequestId("d")));
}

}  // namespace
}  // namespace coltsfootfork

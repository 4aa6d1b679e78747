#include "core/scheduling/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace coltsfootfork {
namespace {

QueuedRequest Waiting(const std::string& workspace, double tokens) {
  static int number = 0;
  QueuedRequest request;
  request.dispatch.request = RequestId(std::to_string(number++));
  request.dispatch.workspace = WorkspaceId(workspace);
  request.expected_tokens = tokens;
  return request;
}

void PushMany(FairQueue& queue, const std::string& workspace, int count,
              double tokens, double weight = 1) {
  for (int i = 0; i < count; ++i) {
    queue.Push(WorkspaceId(workspace), Waiting(workspace, tokens), weight,
               false);
  }
}

// Tokens that each workspace gets in a number of turns.
std::map<std::string, double> Serve(FairQueue& queue, int turns) {
  std::map<std::string, double> served;
  for (int i = 0; i < turns && !queue.empty(); ++i) {
    const double tokens = queue.Head().expected_tokens;
    const QueuedRequest request = queue.PopHead(tokens);
    served[request.dispatch.workspace.value()] += tokens;
  }
  return served;
}

BOOST_AUTO_TEST_CASE(SharesTokensByWeightAndNotRequests) {
  FairQueue queue;
  PushMany(queue, "long", 300, 400);
  PushMany(queue, "short", 3000, 40);
  PushMany(queue, "heavy", 3000, 40, 2);
  const auto served = Serve(queue, 1500);
  BOOST_TEST(served.at("long") / served.at("short") == 1.0,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(served.at("heavy") / served.at("short") == 2.0,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(IdleTimeSavesUpNoCredit) {
  FairQueue queue;
  PushMany(queue, "idle", 1, 100);
  PushMany(queue, "busy", 1000, 100);
  Serve(queue, 500);
  PushMany(queue, "idle", 1000, 100);
  const auto served = Serve(queue, 100);
  BOOST_TEST(served.at("idle") == served.at("busy"),
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(ASmallCallerIsServedNextBesideALargeOne) {
  FairQueue queue;
  PushMany(queue, "large", 1000, 100);
  Serve(queue, 100);
  PushMany(queue, "small", 1, 100);
  BOOST_TEST(queue.TokensAhead(WorkspaceId("small"), 1) <= 200);
  const auto served = Serve(queue, 2);
  BOOST_TEST(served.at("small") == 100);
}

BOOST_AUTO_TEST_CASE(ChargesWhatWasMadeAndNotWhatWasExpected) {
  FairQueue queue;
  PushMany(queue, "a", 1000, 100);
  PushMany(queue, "b", 1000, 100);
  double made_a = 0;
  double made_b = 0;
  for (int i = 0; i < 1000; ++i) {
    const QueuedRequest request = queue.PopHead(100);
    const bool is_a = request.dispatch.workspace == WorkspaceId("a");
    // Answers of workspace a turn out three times as long as expected.
    queue.Charge(request.dispatch.workspace, is_a ? 200 : 0);
    (is_a ? made_a : made_b) += is_a ? 300 : 100;
  }
  BOOST_TEST(made_a == made_b, boost::test_tools::tolerance(0.05));
}

}  // namespace
}  // namespace coltsfootfork

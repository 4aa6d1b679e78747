#include "core/scheduling/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace coltsfootfork {
namespace {

QueuedRequest MakeQueued(const std::string& workspace, double tokens) {
  static int number = 0;
  QueuedRequest request;
  request.dispatch.request = RequestId(std::to_string(number++));
  request.dispatch.workspace = WorkspaceId(workspace);
  request.expected_tokens = tokens;
  return request;
}

void PushRequests(FairQueue& queue, const std::string& workspace, int count,
                  double tokens, double weight = 1) {
  for (int i = 0; i < count; ++i) {
    queue.Push(WorkspaceId(workspace), MakeQueued(workspace, tokens), weight,
               false);
  }
}

// Tokens served to each workspace in `turns` selections.
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
  PushRequests(queue, "long", 300, 400);
  PushRequests(queue, "short", 3000, 40);
  PushRequests(queue, "heavy", 3000, 40, 2);
  const auto served = Serve(queue, 1500);
  BOOST_TEST(served.at("long") / served.at("short") == 1.0,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(served.at("heavy") / served.at("short") == 2.0,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(IdleFlowAccumulatesNoCredit) {
  FairQueue queue;
  PushRequests(queue, "idle", 1, 100);
  PushRequests(queue, "busy", 1000, 100);
  Serve(queue, 500);
  PushRequests(queue, "idle", 1000, 100);
  const auto served = Serve(queue, 100);
  BOOST_TEST(served.at("idle") == served.at("busy"),
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(SmallCallerIsServedNextBesideLargeOne) {
  FairQueue queue;
  PushRequests(queue, "large", 1000, 100);
  Serve(queue, 100);
  PushRequests(queue, "small", 1, 100);
  BOOST_TEST(queue.TokensAhead(WorkspaceId("small"), 1) <= 200);
  const auto served = Serve(queue, 2);
  BOOST_TEST(served.at("small") == 100);
}

BOOST_AUTO_TEST_CASE(ChargesGeneratedTokensNotExpectedTokens) {
  FairQueue queue;
  PushRequests(queue, "a", 1000, 100);
  PushRequests(queue, "b", 1000, 100);
  double generated_a = 0;
  double generated_b = 0;
  for (int i = 0; i < 1000; ++i) {
    const QueuedRequest request = queue.PopHead(100);
    const bool is_a = request.dispatch.workspace == WorkspaceId("a");
    // Responses of workspace a are three times as long as expected.
    queue.Charge(request.dispatch.workspace, is_a ? 200 : 0);
    (is_a ? generated_a : generated_b) += is_a ? 300 : 100;
  }
  BOOST_TEST(generated_a == generated_b, boost::test_tools::tolerance(0.05));
}

}  // namespace
}  // namespace coltsfootfork

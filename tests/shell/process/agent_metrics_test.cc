#include "shell/process/agent_metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

struct MetricsFixture {
  void ReceiveDispatch(const std::string& request, const char* entry = "e1",
                       std::uint32_t first_index = 0) {
    metrics.OnEntryMessage(
        {ProcessId(entry), MakeDispatch(request, first_index)}, now);
  }
  void SubmitToEngine(const std::string& request) {
    metrics.OnEffect(SendToEngine{EngineSubmit{MakeDispatch(request, 0)}}, now);
  }
  static Dispatch MakeDispatch(const std::string& request,
                               std::uint32_t first_index) {
    Dispatch dispatch;
    dispatch.request = RequestId(request);
    dispatch.service = ServiceId("mirror");
    dispatch.rank = Rank::kUrgent;
    dispatch.first_index = first_index;
    return dispatch;
  }
  bool HasLine(const std::string& line) const {
    return registry.ToPrometheusText().find("\ncoltsfootfork_" + line + "\n") !=
           std::string::npos;
  }

  MetricsRegistry registry;
  AgentMetrics metrics{registry};
  Time now;
};

BOOST_FIXTURE_TEST_CASE(QueueDelayIsFromDispatchToEngineSubmit,
                        MetricsFixture) {
  ReceiveDispatch("r1");
  now += milliseconds(70);
  SubmitToEngine("r1");
  SubmitToEngine("r1");
  BOOST_TEST(
      HasLine("queue_delay_seconds_sum{rank=\"urgent\","
              "service=\"mirror\"} 0.07"));
  BOOST_TEST(
      HasLine("queue_delay_seconds_count{rank=\"urgent\","
              "service=\"mirror\"} 1"));
  BOOST_TEST(metrics.pending() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RequestsThatNeverStartAreRemoved, MetricsFixture) {
  ReceiveDispatch("refused");
  ReceiveDispatch("interrupted");
  ReceiveDispatch("cancelled");
  ReceiveDispatch("orphan", "e2");
  ReceiveDispatch("resumed", "e1", 5);
  BOOST_TEST(metrics.pending() == 4U);
  const ProcessId entry("e1");
  metrics.OnEffect(
      {entry, RequestRefused{RequestId("refused"), 1, Reason::kQueueFull, {}}});
  metrics.OnEffect({entry, RequestInterrupted{RequestId("interrupted"), 1,
                                              Reason::kServerLost, false}});
  metrics.OnEntryMessage({entry, CancelRequest{RequestId("cancelled"), 1}},
                         now);
  metrics.OnEntryDisconnected(ProcessId("e2"));
  BOOST_TEST(metrics.pending() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ReportsAndPreemptionsAreExported, MetricsFixture) {
  ServerReport report;
  report.serving = true;
  report.queued_requests = 3;
  report.memory_used_tokens = 500;
  metrics.OnEffect({ProcessId("e1"), report});
  metrics.OnEngineMessage(EnginePreempted{RequestId("r1"), 1});
  BOOST_TEST(HasLine("serving 1"));
  BOOST_TEST(HasLine("queued_requests 3"));
  BOOST_TEST(HasLine("memory_used_tokens 500"));
  BOOST_TEST(HasLine("preemptions_total 1"));
  report.draining = true;
  metrics.OnEffect({ProcessId("e1"), report});
  BOOST_TEST(HasLine("serving 0"));
}

}  // namespace
}  // namespace coltsfootfork

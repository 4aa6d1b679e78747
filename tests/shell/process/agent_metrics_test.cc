#include "shell/process/agent_metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

struct MetricsFixture {
  void Take(const std::string& request, const char* entry = "e1",
            std::uint32_t first_index = 0) {
    metrics.OnEntryMessage(
        {ProcessId(entry), MakeDispatch(request, first_index)}, now);
  }
  void HandOver(const std::string& request) {
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
  bool Shows(const std::string& line) const {
    return registry.ToPrometheusText().find("\ncoltsfootfork_" + line + "\n") !=
           std::string::npos;
  }

  MetricsRegistry registry;
  AgentMetrics metrics{registry};
  Time now;
};

BOOST_FIXTURE_TEST_CASE(QueueDelayIsFromTakingToHandOver, MetricsFixture) {
  Take("r1");
  now += milliseconds(70);
  HandOver("r1");
  HandOver("r1");
  BOOST_TEST(
      Shows("queue_delay_seconds_sum{rank=\"urgent\","
            "service=\"mirror\"} 0.07"));
  BOOST_TEST(
      Shows("queue_delay_seconds_count{rank=\"urgent\","
            "service=\"mirror\"} 1"));
  BOOST_TEST(metrics.waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(NothingIsKeptOfRequestsThatNeverStart, MetricsFixture) {
  Take("refused");
  Take("interrupted");
  Take("cancelled");
  Take("orphan", "e2");
  Take("resumed", "e1", 5);
  BOOST_TEST(metrics.waiting() == 4U);
  const ProcessId entry("e1");
  metrics.OnEffect(
      {entry, RequestRefused{RequestId("refused"), 1, Reason::kQueueFull, {}}});
  metrics.OnEffect({entry, RequestInterrupted{RequestId("interrupted"), 1,
                                              Reason::kServerLost, false}});
  metrics.OnEntryMessage({entry, CancelRequest{RequestId("cancelled"), 1}},
                         now);
  metrics.OnEntryDisconnected(ProcessId("e2"));
  BOOST_TEST(metrics.waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ReportsAndPreemptionsAreShown, MetricsFixture) {
  ServerReport report;
  report.serving = true;
  report.queued_requests = 3;
  report.memory_used_tokens = 500;
  metrics.OnEffect({ProcessId("e1"), report});
  metrics.OnEngineMessage(EnginePreempted{RequestId("r1"), 1});
  BOOST_TEST(Shows("serving 1"));
  BOOST_TEST(Shows("queued_requests 3"));
  BOOST_TEST(Shows("memory_used_tokens 500"));
  BOOST_TEST(Shows("preemptions_total 1"));
  report.draining = true;
  metrics.OnEffect({ProcessId("e1"), report});
  BOOST_TEST(Shows("serving 0"));
}

}  // namespace
}  // namespace coltsfootfork

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "platform/processes_fixture.h"
#include "platform/scripted_server.h"

// The program's processes as the platform runs them.
namespace coltsfootfork {
namespace {

using nlohmann::json;

BOOST_AUTO_TEST_CASE(CallIsServedEndToEnd) {
  ProcessesFixture fixture;
  BOOST_TEST(
      fixture.Call(fixture.ready_address, "GET", "/api/readyz", "").status !=
      200);
  fixture.SetUpService();
  const HttpResponse response = fixture.Request("r1");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body == "from i-1");
  const std::string metrics =
      fixture.Call(fixture.metrics_address, "GET", "/metrics", "").body;
  BOOST_TEST(metrics.find("calls_total{outcome=\"served\"} 1") !=
             std::string::npos);
  const std::string control_metrics =
      fixture.Call(fixture.control_metrics_address, "GET", "/metrics", "").body;
  BOOST_TEST(control_metrics.find("control_changes_accepted_total 1") !=
             std::string::npos);
  BOOST_TEST(control_metrics.find("control_servers 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(StoppingEntryIsNotReadyServesAndExits) {
  ProcessesFixture fixture;
  fixture.SetUpService();
  fixture.entry->Signal(SIGTERM);
  fixture.AwaitNotReady();
  // The platform's load balancer may still send connections for a while.
  BOOST_TEST(fixture.Request("r1").status == 200);
  BOOST_TEST(fixture.entry->Wait() == 0);
  fixture.control->Signal(SIGTERM);
  BOOST_TEST(fixture.control->Wait() == 0);
}

// Guards against requests that a stopping entry accepts although their timeout
// is later than its exit, which then cuts them off.
BOOST_AUTO_TEST_CASE(StoppingEntryCutsOffNoRequestThatItAccepts) {
  ProcessesFixture fixture(/*stop_within_s=*/3.0);
  fixture.SetUpService();
  fixture.Announce("m", "i-2", fixture.model.address());
  Fleet::Await("the entry knows the server",
               [&] { return fixture.Request("r0", "/talk/1").status == 200; });
  const int runs = fixture.model.runs_started();
  fixture.model.SetEventsPerStream(10000);
  fixture.entry->Signal(SIGTERM);
  fixture.AwaitNotReady();
  const HttpResponse refused = fixture.Request("r1", "/talk/1");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(fixture.model.runs_started() == runs);
  // What ends in time is served.
  fixture.model.SetEventsPerStream(20);
  BOOST_TEST(fixture.Request("r2", "/talk/1", "500").status == 200);
  BOOST_TEST(fixture.Request("r3", "/x/1", "500").status == 200);
  BOOST_TEST(fixture.entry->Wait() == 0);
}

// Guards against requests that wait for a server when the entry exits, and get
// no response.
BOOST_AUTO_TEST_CASE(StoppingEntryRespondsToUnansweredRequest) {
  ProcessesFixture fixture(/*stop_within_s=*/2.0);
  ScriptedServer silent(fixture.io, [&](const std::string&, int) {
    fixture.entry->Signal(SIGTERM);
    return ScriptedResponse();
  });
  fixture.SetUpService(silent.address());
  BOOST_TEST(fixture.Request("r1").status == 504);
  BOOST_TEST(fixture.entry->Wait() == 0);
}

// Guards against operators' and servers' requests that wait for a leader or a
// quorum when the control process exits, and get no response.
BOOST_AUTO_TEST_CASE(StoppingControlProcessRespondsToWaitingRequest) {
  // Without a replica group a read waits for a leader until it times out.
  ProcessesFixture fixture(/*stop_within_s=*/8.0, /*is_first_start=*/false);
  const auto read = [&] {
    return fixture.Call(fixture.control_address, "GET", "/api/config/get", "")
        .status;
  };
  Fleet::Await("the process listens", [&] { return read() == 503; });
  std::optional<HttpFetchResult> waiting;
  HttpRequest request;
  request.method = "GET";
  request.target = "/api/config/get";
  HttpFetch(fixture.io, ParseEndpoint(fixture.control_address).value(), request,
            std::chrono::seconds(30),
            [&](HttpFetchResult result) { waiting = std::move(result); });
  BOOST_TEST(fixture
                 .Call(fixture.control_address, "POST",
                       "/api/instances/i-1/heartbeat", "")
                 .status == 400);
  fixture.control->Signal(SIGTERM);
  while (!waiting) BOOST_REQUIRE(fixture.io.run_one() > 0);
  BOOST_REQUIRE(waiting->response.has_value());
  BOOST_TEST(waiting->response->status == 503);
  BOOST_TEST(fixture.control->Wait() == 0);
}

BOOST_AUTO_TEST_CASE(InvalidSettingsReloadDoesNotAffectEntry) {
  ProcessesFixture fixture;
  fixture.SetUpService();
  const std::string path = fixture.fleet.folder() + "/entry.json";
  std::ofstream(path) << "no settings at all";
  fixture.entry->Signal(SIGHUP);
  BOOST_TEST(fixture.Request("r1").status == 200);
}

}  // namespace
}  // namespace coltsfootfork

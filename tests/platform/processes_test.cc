#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "platform/platform_engine.h"
#include "platform/scripted_server.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"
#include "support/child_process.h"
#include "support/fleet.h"

// The program's processes as the platform runs them: one control process and
// one entry, with a stand-in engine that runs in the test process.
namespace coltsfootfork {
namespace {

using nlohmann::json;

struct ProcessesFixture {
  explicit ProcessesFixture(double stop_within_s = 8.0,
                            bool is_first_start = true)
      : engine(io, "i-1"), model(io, "i-2") {
    const json shared = {{"availability_zone", "z"},
                         {"ip", "127.0.0.1"},
                         {"fleet_port", std::stoi(PortOf(fleet_address))},
                         {"control_seeds", {"127.0.0.1:1"}},
                         {"stop_within_s", stop_within_s}};
    json settings = shared;
    settings["process"] = "control-1";
    settings["control_listen"] = control_address;
    settings["metrics_listen"] = control_metrics_address;
    settings["data_folder"] = fleet.folder() + "/data";
    settings["is_first_start"] = is_first_start;
    Start("control", settings, control);
    settings = shared;
    settings["process"] = "entry-1";
    settings["callers_listen"] = callers_address;
    settings["ready_listen"] = ready_address;
    settings["metrics_listen"] = metrics_address;
    Start("entry", settings, entry);
  }

  void Start(const std::string& role, const json& settings,
             std::unique_ptr<ChildProcess>& process) {
    const std::string path = fleet.folder() + "/" + role + ".json";
    std::ofstream(path) << settings.dump();
    process = std::make_unique<ChildProcess>(
        COLTSFOOTFORK_PROGRAM,
        std::vector<std::string>{"platform", role, "--settings", path},
        path + ".log");
  }

  HttpResponse Call(const std::string& address, const std::string& method,
                    const std::string& path, const std::string& body,
                    std::vector<HttpField> fields = {}) {
    HttpRequest request;
    request.method = method;
    request.target = path;
    request.body = body;
    request.fields = std::move(fields);
    std::optional<HttpFetchResult> done;
    HttpFetch(io, ParseEndpoint(address).value(), request,
              std::chrono::seconds(30),
              [&](HttpFetchResult result) { done = std::move(result); });
    while (!done) BOOST_REQUIRE(io.run_one() > 0);
    return done->response.value_or(HttpResponse{0, "", {}, ""});
  }

  void SetUpService() { SetUpService(engine.address()); }
  // Announces one server of service "s" at the address.
  void SetUpService(const std::string& server_address) {
    const json document = {{"version", 5},
                           {"routes",
                            {{{"host", "a.example"},
                              {"path_prefix", "/x/"},
                              {"kind", "non_idempotent"},
                              {"timeout_ms", 5000},
                              {"service", "s"}},
                             {{"host", "a.example"},
                              {"path_prefix", "/talk/"},
                              {"kind", "streaming"},
                              {"resumable", true},
                              {"timeout_ms", 5000},
                              {"service", "m"}}}},
                           {"services",
                            {{{"name", "s"}, {"max_conns", 10}},
                             {{"name", "m"}, {"max_conns", 10}}}}};
    Fleet::Await("the plan is accepted", [&] {
      return Call(control_address, "POST", "/api/config/put", document.dump())
                 .status == 200;
    });
    Announce("s", "i-1", server_address);
    Fleet::Await("the entry is ready", [&] {
      return Call(ready_address, "GET", "/api/readyz", "").status == 200;
    });
  }

  void Announce(const std::string& service, const std::string& id,
                const std::string& address) {
    const json heartbeat = {{"service", service}, {"address", address},
                            {"state", "ready"},   {"sequence", ++sequence},
                            {"born", 1000},       {"slots", 4}};
    Fleet::Await("the server is registered", [&] {
      return Call(control_address, "POST",
                  "/api/instances/" + id + "/heartbeat", heartbeat.dump())
                 .status == 200;
    });
  }

  // Returns status zero if there was no complete response.
  HttpResponse Request(const std::string& id, const std::string& path = "/x/1",
                       const std::string& timeout_ms = "4000") {
    std::vector<HttpField> fields = {
        {"Host", "a.example"}, {"Request-Id", id}, {"Deadline-Ms", timeout_ms}};
    if (path == "/talk/1") {
      fields.push_back({"Token-Counts", "100,40"});
      fields.push_back({"Model", "m"});
    }
    return Call(callers_address, "POST", path, "body", fields);
  }

  void AwaitNotReady() {
    Fleet::Await("the entry is not ready", [&] {
      return Call(ready_address, "GET", "/api/readyz", "").status == 503;
    });
  }

  Fleet fleet;
  boost::asio::io_context io{1};
  PlatformEngine engine;
  PlatformEngine model;
  int sequence = 0;
  std::string fleet_address = Fleet::UnusedAddress();
  std::string control_address = Fleet::UnusedAddress();
  std::string callers_address = Fleet::UnusedAddress();
  std::string ready_address = Fleet::UnusedAddress();
  std::string metrics_address = Fleet::UnusedAddress();
  std::string control_metrics_address = Fleet::UnusedAddress();
  std::unique_ptr<ChildProcess> control;
  std::unique_ptr<ChildProcess> entry;
};

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

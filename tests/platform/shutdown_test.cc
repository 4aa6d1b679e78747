#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "platform/scripted_server.h"
#include "shell/clock/monotonic_now.h"

// The gateway of an entry that shuts down.
namespace coltsfootfork {
namespace {

// Requests of the fixture time out after ten seconds.
constexpr std::chrono::seconds kBeforeTimeout{5};
constexpr std::chrono::seconds kAfterTimeout{60};

struct ShutdownFixture : GatewayFixture {
  ShutdownFixture() : engine(io, "i-1"), server(io, "i-2") {
    SetPlan();
    Announce("i-1", engine.address(), "model");
    Announce("i-2", server.address(), "ledger");
  }
  std::optional<HttpResponse> FetchFrom(const std::string& path) {
    const bool is_stream = path == "/talk/1" || path == "/verdict/1";
    return Fetch(is_stream ? StreamRequest(path, "r" + path)
                           : Request(path, "r" + path));
  }

  PlatformEngine engine;
  PlatformEngine server;
  const std::vector<std::string> paths = {"/talk/1",  "/verdict/1", "/sale/1",
                                          "/order/1", "/stock/1",   "/open/1"};
};

// Guards against calls that a stopping entry accepts and its exit cuts off.
BOOST_FIXTURE_TEST_CASE(StoppingEntryRefusesCallsThatMayOutlastIt,
                        ShutdownFixture) {
  gateway.BeginShutdown(MonotonicNow() + kBeforeTimeout);
  for (const std::string& path : paths) {
    const auto response = FetchFrom(path);
    BOOST_REQUIRE_MESSAGE(response.has_value(), path);
    BOOST_TEST(response->status == 503, path);
    BOOST_TEST(FieldOf(*response, "Retry-After") != "", path);
  }
  BOOST_TEST(engine.arrivals() + server.arrivals() == 0);
}

BOOST_FIXTURE_TEST_CASE(StoppingEntryServesCallsThatEndBeforeIt,
                        ShutdownFixture) {
  gateway.BeginShutdown(MonotonicNow() + kAfterTimeout);
  for (const std::string& path : paths) {
    const auto response = FetchFrom(path);
    BOOST_REQUIRE_MESSAGE(response.has_value(), path);
    BOOST_TEST(response->status == 200, path);
  }
}

// Guards against calls that wait for a server until the exit cuts them off.
BOOST_FIXTURE_TEST_CASE(StoppingEntryRefusesQueuedCallsThatMayOutlastIt,
                        ShutdownFixture) {
  constexpr int kLatencyGoalMs = 20000;
  SetPlan(/*timeout_ms=*/20000, kLatencyGoalMs);
  engine.SetEventsPerStream(1000000);
  HttpRequest large = StreamRequest("/talk/1", "r1");
  large.fields.push_back({"Token-Counts", "20000,40"});
  large.fields.erase(large.fields.begin() + 4);
  const auto running = Start(large);
  RunUntil([&] { return engine.running() == 1; });
  for (HttpField& field : large.fields) {
    if (field.name == "Request-Id") field.value = "r2";
  }
  const auto queued = Start(large);
  RunUntil([&] {
    return gateway.MetricsText().find("gateway_waiting_calls 1") !=
           std::string::npos;
  });
  gateway.BeginShutdown(MonotonicNow() + kBeforeTimeout);
  RunUntil([&] { return queued->has_value(); });
  BOOST_REQUIRE((*queued)->response.has_value());
  BOOST_TEST((*queued)->response->status == 503);
  // The call that has been dispatched continues.
  BOOST_TEST(!running->has_value());
  BOOST_TEST(engine.running() == 1U);
  BOOST_TEST(engine.arrivals() == 1);
  engine.Crash();
  RunUntil([&] { return running->has_value(); });
}

// Guards against calls without any response at the exit of the process.
BOOST_FIXTURE_TEST_CASE(UnansweredCallsGetAResponseBeforeTheExit,
                        ShutdownFixture) {
  ScriptedServer silent(
      io, [](const std::string&, int) { return ScriptedResponse(); });
  engine.SetEventsPerStream(1000000);
  const auto stream = Start(StreamRequest("/talk/1", "r2"));
  RunUntil([&] { return engine.running() == 1; });
  // The head of the stream is forwarded before a later call is served.
  BOOST_TEST(FetchFrom("/stock/1").has_value());
  Announce("i-3", silent.address(), "ledger");
  Announce("i-2", server.address(), "ledger", ServerState::kRemoved);
  const auto sent = Start(Request("/sale/1", "r1"));
  RunUntil([&] { return silent.requests().size() == 1; });
  gateway.BeginShutdown(MonotonicNow() + kBeforeTimeout);
  BOOST_TEST(gateway.open_calls() == 2U);
  gateway.EndUnansweredCalls();
  RunUntil([&] { return sent->has_value(); });
  BOOST_REQUIRE((*sent)->response.has_value());
  // The call may have run.
  BOOST_TEST((*sent)->response->status == 504);
  // A response that has started may still be completed.
  BOOST_TEST(gateway.open_calls() == 1U);
  engine.Crash();
  RunUntil([&] { return stream->has_value(); });
}

}  // namespace
}  // namespace coltsfootfork

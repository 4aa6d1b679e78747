#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "platform/scripted_server.h"
#include "shell/clock/monotonic_now.h"

// A draining server sends a drain notice in its responses, possibly before the
// control processes learn of the drain.
namespace coltsfootfork {
namespace {

constexpr int kEvents = 60;
constexpr int kCalls = 20;

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

ScriptedResponse DrainNoticeResponse(const std::string& request,
                                     const std::string& status) {
  return {"HTTP/1.1 " + status + "\r\nRequest-Id: " + IdOf(request) +
          "\r\nResponse-Signature: s\r\nServer-Leaving: 1\r\n"
          "Content-Length: 2\r\n\r\nok"};
}

void SendCalls(GatewayFixture& fixture) {
  for (int i = 0; i < kCalls; ++i) {
    fixture.Fetch(fixture.Request("/stock/1", "s" + std::to_string(i)));
  }
}

BOOST_AUTO_TEST_CASE(DrainingServerReceivesNoNewCalls) {
  GatewayFixture fixture;
  ScriptedServer draining(fixture.io, [](const std::string& request, int) {
    return DrainNoticeResponse(request, "200 OK");
  });
  fixture.SetPlan();
  fixture.Announce("i-1", draining.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 200);
  PlatformEngine healthy(fixture.io, "i-2");
  fixture.Announce("i-2", healthy.address(), "ledger");
  SendCalls(fixture);
  BOOST_TEST(draining.requests().size() == 1U);
  BOOST_TEST(healthy.runs_started() == kCalls);
  BOOST_TEST(fixture.gateway.MetricsText().find("server_said_it_leaves\"} 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(LateHeartbeatDoesNotRevokeDrainNotice) {
  GatewayFixture fixture;
  ScriptedServer draining(fixture.io, [](const std::string& request, int) {
    return DrainNoticeResponse(request, "200 OK");
  });
  fixture.SetPlan();
  fixture.Announce("i-1", draining.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r1"));
  fixture.Announce("i-1", draining.address(), "ledger");
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r2"))->status == 503);
  BOOST_TEST(draining.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(NextIncarnationOfDrainingServerReceivesCalls) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return DrainNoticeResponse(request, "200 OK");
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r1"));
  ServerRecord restarted = fixture.directory.Find(ServerId("i-1"))->record;
  restarted.incarnation += 1;
  restarted.sequence = 1;
  restarted.state = ServerState::kReady;
  fixture.directory.Merge(restarted, MonotonicNow());
  fixture.gateway.ApplyDirectory(fixture.directory, MonotonicNow());
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r2"))->status == 200);
  BOOST_TEST(server.requests().size() == 2U);
}

// The 421 comes from another server that has taken over the address; its drain
// notice applies only to itself.
BOOST_AUTO_TEST_CASE(DrainNoticeOfMisdirectedResponseIsIgnored) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return DrainNoticeResponse(request, "421 Misdirected Request");
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r1"));
  fixture.Fetch(fixture.Request("/sale/1", "r2"));
  BOOST_TEST(server.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(RunningStreamsMigrateAfterDrainNotice) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<PlatformEngine>> engines;
  std::vector<PlatformEngine*> all;
  for (const char* id : {"i-1", "i-2", "i-3"}) {
    engines.push_back(std::make_unique<PlatformEngine>(fixture.io, id));
    all.push_back(engines.back().get());
  }
  fixture.SetPlan();
  for (PlatformEngine* engine : all) {
    engine->SetPeers(all);
    engine->SetEventsPerStream(kEvents);
    fixture.Announce(engine->id(), engine->address(), "model");
  }
  const auto stream = fixture.Start(fixture.StreamRequest("/talk/1", "r1"));
  PlatformEngine* source = nullptr;
  fixture.RunUntil([&] {
    for (PlatformEngine* engine : all) {
      if (engine->running() > 0) source = engine;
    }
    return source != nullptr;
  });
  for (int i = 0; i < kEvents; ++i) fixture.io.run_one();
  source->SetDraining(true);
  const int runs_before = source->runs_started();
  // Sends calls until one reaches the stream's engine, which then responds with
  // a drain notice.
  std::vector<std::shared_ptr<std::optional<HttpFetchResult>>> others;
  for (int i = 0; source->runs_started() == runs_before && i < 50; ++i) {
    others.push_back(fixture.Start(
        fixture.StreamRequest("/verdict/1", "v" + std::to_string(i))));
    fixture.io.run_one();
    fixture.io.poll();
  }
  fixture.RunUntil([&] { return stream->has_value(); });
  BOOST_REQUIRE((*stream)->response.has_value());
  std::vector<int> ids(kEvents);
  for (int i = 0; i < kEvents; ++i) ids[i] = i + 1;
  BOOST_TEST(EventIds((*stream)->response->body) == ids);
  int migrated = 0;
  for (const PlatformEngine* engine : all) migrated += engine->runs_migrated();
  BOOST_TEST(migrated >= 1);
  for (const auto& other : others) {
    fixture.RunUntil([&] { return other->has_value(); });
    BOOST_TEST((*other)->response.has_value());
  }
  fixture.RunUntil([&] { return fixture.gateway.open_calls() == 0; });
}

}  // namespace
}  // namespace coltsfootfork

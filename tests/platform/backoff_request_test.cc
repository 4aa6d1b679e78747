#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "platform/scripted_server.h"

// A server that rejects a call may request back-off: Retry-After gives the time
// during which the gateway must not send it further calls.
namespace coltsfootfork {
namespace {

constexpr int kCalls = 20;

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

ScriptedServer::Script RequestsBackoff(const std::string& seconds) {
  return [seconds](const std::string& request, int) {
    return ScriptedResponse{
        "HTTP/1.1 503 Busy\r\nRequest-Id: " + IdOf(request) +
        "\r\nNot-Executed: 1\r\nRetry-After: " + seconds +
        "\r\nContent-Length: 0\r\n\r\n"};
  };
}

BOOST_AUTO_TEST_CASE(ServerInBackoffReceivesNoCalls) {
  GatewayFixture fixture;
  ScriptedServer busy(fixture.io, RequestsBackoff("30"));
  fixture.SetPlan();
  fixture.Announce("i-1", busy.address(), "ledger");
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r1"))->status == 503);
  PlatformEngine healthy(fixture.io, "i-2");
  fixture.Announce("i-2", healthy.address(), "ledger");
  for (int i = 0; i < kCalls; ++i) {
    fixture.Fetch(fixture.Request("/stock/1", "s" + std::to_string(i)));
  }
  BOOST_TEST(busy.requests().size() == 1U);
  BOOST_TEST(healthy.runs_started() == kCalls);
  BOOST_TEST(fixture.gateway.MetricsText().find("server_asked_for_time\"} 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(RetryAfterIsTheShortestBackoffOfAllServers) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, RequestsBackoff("5.5"));
  ScriptedServer second_server(fixture.io, RequestsBackoff("9"));
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r1"));
  fixture.Announce("i-2", second_server.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r2"));
  for (const char* path : {"/sale/1", "/stock/1"}) {
    const auto refused = fixture.Fetch(fixture.Request(path, "r3"));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->status == 503);
    const double seconds = std::stod(FieldOf(*refused, "Retry-After"));
    BOOST_TEST(seconds > 2.0);
    BOOST_TEST(seconds <= 5.5);
  }
  BOOST_TEST(server.requests().size() == 1U);
  BOOST_TEST(second_server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(EngineInBackoffReceivesNoStreams) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, RequestsBackoff("5.5"));
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "model");
  const auto first = fixture.Fetch(fixture.StreamRequest("/talk/1", "r1"));
  BOOST_TEST(std::stod(FieldOf(*first, "Retry-After")) > 2.0);
  const auto second = fixture.Fetch(fixture.StreamRequest("/talk/1", "r2"));
  BOOST_TEST(second->status == 503);
  BOOST_TEST(std::stod(FieldOf(*second, "Retry-After")) > 2.0);
  BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ServerReceivesCallsAgainAfterItsBackoff) {
  GatewayFixture fixture;
  int request_count = 0;
  ScriptedServer server(fixture.io, [&](const std::string& request, int) {
    if (request_count++ == 0) return RequestsBackoff("0.05")(request, 0);
    return ScriptedResponse{"HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
                            "\r\nResponse-Signature: s\r\n"
                            "Content-Length: 2\r\n\r\nok"};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r1"));
  int status = 0;
  while (status != 200) {
    status = fixture.Fetch(fixture.Request("/sale/1", "r2"))->status;
    BOOST_REQUIRE((status == 200 || status == 503));
  }
  BOOST_TEST(request_count == 2);
}

BOOST_AUTO_TEST_CASE(InvalidRetryAfterRequestsNoBackoff) {
  for (const char* invalid : {"-3", "soon", "nan", "", "1e999", "2 3"}) {
    GatewayFixture fixture;
    ScriptedServer server(fixture.io, RequestsBackoff(invalid));
    fixture.SetPlan();
    fixture.Announce("i-1", server.address(), "ledger");
    fixture.Fetch(fixture.Request("/sale/1", "r1"));
    fixture.Fetch(fixture.Request("/sale/1", "r2"));
    BOOST_TEST(server.requests().size() == 2U, invalid);
  }
}

}  // namespace
}  // namespace coltsfootfork

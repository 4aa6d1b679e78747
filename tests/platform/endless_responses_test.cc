#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "platform/endless_server.h"
#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"

// Guards against servers whose response never ends: they must not exhaust the
// gateway's memory, hold a call beyond its timeout, or block other calls.
namespace coltsfootfork {
namespace {

// Upper limit for the bytes that the gateway reads of one endless response,
// including the socket buffers.
constexpr std::size_t kMaxBytesPerResponse = 24U << 20U;
constexpr std::size_t kPieceBytes = 16U << 10U;

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

std::string MakeHead(const std::string& request,
                     const std::string& extra_fields) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
         "\r\nResponse-Signature: s\r\n" + extra_fields + "\r\n";
}

std::string Chunk(const std::string& text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + text + "\r\n";
}

EndlessResponse EndlessHead(const std::string& /*request*/) {
  return {"HTTP/1.1 200 OK\r\nX: ", std::string(kPieceBytes, 'x')};
}

EndlessResponse EndlessFields(const std::string& /*request*/) {
  std::string fields;
  while (fields.size() < kPieceBytes) fields += "X-More: and more\r\n";
  return {"HTTP/1.1 200 OK\r\n", fields};
}

EndlessResponse EndlessBody(const std::string& request) {
  return {MakeHead(request, ""), std::string(kPieceBytes, 'x')};
}

EndlessResponse EndlessChunks(const std::string& request) {
  return {MakeHead(request, "Transfer-Encoding: chunked\r\n"),
          Chunk(std::string(kPieceBytes, 'x'))};
}

EndlessResponse EndlessChunkHead(const std::string& request) {
  return {MakeHead(request, "Transfer-Encoding: chunked\r\n") + "1;",
          std::string(kPieceBytes, 'x')};
}

EndlessResponse EndlessForeignResponses(const std::string& /*request*/) {
  std::string responses;
  while (responses.size() < kPieceBytes) {
    responses +=
        "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 2\r\n\r\nno";
  }
  return {responses, responses};
}

EndlessResponse EndlessInterimResponses(const std::string& /*request*/) {
  std::string responses;
  while (responses.size() < kPieceBytes) {
    responses += "HTTP/1.1 102 Wait\r\n\r\n";
  }
  return {responses, responses};
}

EndlessResponse EndlessEvent(const std::string& request) {
  return {MakeHead(request,
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n"),
          Chunk(std::string(kPieceBytes, 'x'))};
}

EndlessResponse EndlessInvalidEvents(const std::string& request) {
  std::string events;
  while (events.size() < kPieceBytes) events += "id: none\ndata: \x01\x02\n\n";
  return {MakeHead(request,
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n"),
          Chunk(events)};
}

using Script = EndlessResponse (*)(const std::string& request);

struct Case {
  const char* name;
  const char* path;
  Script script;
};

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"a head", "/order/1", EndlessHead},
      {"fields", "/order/1", EndlessFields},
      {"a body", "/order/1", EndlessBody},
      {"chunks", "/order/1", EndlessChunks},
      {"a chunk's head", "/order/1", EndlessChunkHead},
      {"responses to other calls", "/order/1", EndlessForeignResponses},
      {"interim responses", "/order/1", EndlessInterimResponses},
      {"a head of a stream", "/talk/1", EndlessHead},
      {"an event", "/talk/1", EndlessEvent},
      {"damaged events", "/talk/1", EndlessInvalidEvents},
  };
  return cases;
}

HttpRequest RequestFor(const GatewayFixture& fixture, const std::string& path,
                       const std::string& id) {
  return path == "/talk/1" ? fixture.StreamRequest(path, id)
                           : fixture.Request(path, id);
}

std::string ServiceOf(const std::string& path) {
  return path == "/talk/1" ? "model" : "ledger";
}

std::size_t BufferedBytes(GatewayFixture& fixture) {
  const std::string text = fixture.gateway.MetricsText();
  const std::string name = "gateway_held_answer_bytes ";
  const std::size_t at = text.rfind(name);
  BOOST_REQUIRE(at != std::string::npos);
  return std::stoul(text.substr(at + name.size()));
}

BOOST_AUTO_TEST_CASE(EndlessResponseIsAbortedAndNotRetried) {
  for (const Case& test_case : Cases()) {
    BOOST_TEST_CONTEXT(test_case.name) {
      GatewayFixture fixture;
      EndlessServer server(fixture.io, test_case.script);
      fixture.SetPlan();
      fixture.Announce("i-1", server.address(), ServiceOf(test_case.path));
      const auto response =
          fixture.Fetch(RequestFor(fixture, test_case.path, "r1"));
      // A stream that has started is aborted and has no complete response.
      if (response) BOOST_TEST(response->status == 502);
      fixture.RunUntil([&] { return server.closed() == 1; });
      BOOST_TEST(server.bytes_sent() < kMaxBytesPerResponse);
      BOOST_TEST(server.connections() == 1);
      BOOST_TEST(fixture.gateway.open_calls() == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ConcurrentEndlessResponsesStayWithinMemoryLimit) {
  constexpr int kCalls = 60;
  // Limit for all calls together at any time; the memory of a process's host
  // may be five times as much.
  constexpr std::size_t kMaxBufferedBytes = 16U << 20U;
  GatewayFixture fixture;
  EndlessServer server(fixture.io, EndlessBody);
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  std::vector<std::shared_ptr<std::optional<HttpFetchResult>>> calls;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(
        fixture.Start(fixture.Request("/order/1", "r" + std::to_string(i))));
  }
  std::size_t max_buffered_bytes = 0;
  fixture.RunUntil([&] {
    max_buffered_bytes = std::max(max_buffered_bytes, BufferedBytes(fixture));
    return server.closed() == kCalls;
  });
  BOOST_TEST(max_buffered_bytes > 0U);
  BOOST_TEST(max_buffered_bytes <= kMaxBufferedBytes);
  BOOST_TEST(BufferedBytes(fixture) == 0U);
  for (const auto& call : calls) {
    fixture.RunUntil([&] { return call->has_value(); });
    BOOST_REQUIRE((*call)->response.has_value());
    BOOST_TEST((*call)->response->status == 502);
  }
}

BOOST_AUTO_TEST_CASE(HealthyCallsAreServedDuringEndlessResponse) {
  GatewayFixture fixture;
  EndlessServer endless(fixture.io, EndlessForeignResponses);
  PlatformEngine healthy(fixture.io, "i-2");
  fixture.SetPlan();
  fixture.Announce("i-1", endless.address(), "ledger");
  const auto endless_call = fixture.Start(fixture.Request("/order/1", "r1"));
  fixture.RunUntil([&] { return endless.bytes_sent() > 0; });
  fixture.Announce("i-2", healthy.address(), "ledger");
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    const auto response =
        fixture.Fetch(fixture.Request("/stock/1", "s" + std::to_string(i)));
    if (response && response->status == 200) ++served;
  }
  BOOST_TEST(served >= healthy.runs_started());
  BOOST_TEST(served > 0);
  fixture.RunUntil(
      [&] { return endless_call->has_value() && endless.closed() == 1; });
  BOOST_TEST(fixture.gateway.open_calls() == 0U);
}

// A response that arrives a few bytes at a time does not extend the route's
// timeout.
BOOST_AUTO_TEST_CASE(SlowResponseIsAbortedAtRouteTimeout) {
  for (const char* path : {"/order/1", "/talk/1"}) {
    for (const bool in_head : {true, false}) {
      GatewayFixture fixture;
      EndlessServer server(fixture.io, [&](const std::string& request) {
        EndlessResponse response = in_head ? EndlessHead(request)
                                   : std::string(path) == "/talk/1"
                                       ? EndlessEvent(request)
                                       : EndlessChunks(request);
        response.repeated = in_head ? "x" : Chunk("x");
        response.interval = std::chrono::milliseconds(5);
        return response;
      });
      fixture.SetPlan(/*timeout_ms=*/100);
      fixture.Announce("i-1", server.address(), ServiceOf(path));
      const auto response = fixture.Fetch(RequestFor(fixture, path, "r1"));
      if (response) BOOST_TEST(response->status == 504);
      fixture.RunUntil([&] { return server.closed() == 1; });
      BOOST_TEST(fixture.gateway.open_calls() == 0U);
    }
  }
}

}  // namespace
}  // namespace coltsfootfork

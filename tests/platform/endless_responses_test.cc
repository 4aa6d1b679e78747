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

// Bytes that are no answer and come until the gateway closes: its memory and
// its time are bounded, and other calls are served meanwhile.
namespace coltsfootfork {
namespace {

// Above all that the gateway may take in of one answer that has no end, with
// what the sockets hold.
constexpr std::size_t kMostBytesOfOne = 24U << 20U;
constexpr std::size_t kUnit = 16U << 10U;

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

std::string Head(const std::string& request, const std::string& more) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
         "\r\nResponse-Signature: s\r\n" + more + "\r\n";
}

std::string Chunk(const std::string& text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + text + "\r\n";
}

EndlessResponse HeadWithoutEnd(const std::string& /*request*/) {
  return {"HTTP/1.1 200 OK\r\nX: ", std::string(kUnit, 'x')};
}

EndlessResponse FieldsWithoutEnd(const std::string& /*request*/) {
  std::string fields;
  while (fields.size() < kUnit) fields += "X-More: and more\r\n";
  return {"HTTP/1.1 200 OK\r\n", fields};
}

EndlessResponse BodyWithoutEnd(const std::string& request) {
  return {Head(request, ""), std::string(kUnit, 'x')};
}

EndlessResponse ChunksWithoutEnd(const std::string& request) {
  return {Head(request, "Transfer-Encoding: chunked\r\n"),
          Chunk(std::string(kUnit, 'x'))};
}

EndlessResponse ChunkHeadWithoutEnd(const std::string& request) {
  return {Head(request, "Transfer-Encoding: chunked\r\n") + "1;",
          std::string(kUnit, 'x')};
}

EndlessResponse OtherAnswersWithoutEnd(const std::string& /*request*/) {
  std::string answers;
  while (answers.size() < kUnit) {
    answers +=
        "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 2\r\n\r\nno";
  }
  return {answers, answers};
}

EndlessResponse InterimAnswersWithoutEnd(const std::string& /*request*/) {
  std::string answers;
  while (answers.size() < kUnit) answers += "HTTP/1.1 102 Wait\r\n\r\n";
  return {answers, answers};
}

EndlessResponse EventWithoutEnd(const std::string& request) {
  return {Head(request,
               "Content-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n"),
          Chunk(std::string(kUnit, 'x'))};
}

EndlessResponse DamagedEventsWithoutEnd(const std::string& request) {
  std::string events;
  while (events.size() < kUnit) events += "id: none\ndata: \x01\x02\n\n";
  return {Head(request,
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
      {"a head", "/order/1", HeadWithoutEnd},
      {"fields", "/order/1", FieldsWithoutEnd},
      {"a body", "/order/1", BodyWithoutEnd},
      {"chunks", "/order/1", ChunksWithoutEnd},
      {"a chunk's head", "/order/1", ChunkHeadWithoutEnd},
      {"answers of other calls", "/order/1", OtherAnswersWithoutEnd},
      {"interim answers", "/order/1", InterimAnswersWithoutEnd},
      {"a head of a stream", "/talk/1", HeadWithoutEnd},
      {"an event", "/talk/1", EventWithoutEnd},
      {"damaged events", "/talk/1", DamagedEventsWithoutEnd},
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

std::size_t HeldBytes(GatewayFixture& fixture) {
  const std::string text = fixture.gateway.MetricsText();
  const std::string name = "gateway_held_answer_bytes ";
  const std::size_t at = text.rfind(name);
  BOOST_REQUIRE(at != std::string::npos);
  return std::stoul(text.substr(at + name.size()));
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndIsClosedAndMayHaveRun) {
  for (const Case& one : Cases()) {
    BOOST_TEST_CONTEXT(one.name) {
      GatewayFixture fixture;
      EndlessServer server(fixture.io, one.script);
      fixture.SetPlan();
      fixture.Announce("i-1", server.address(), ServiceOf(one.path));
      const auto answer = fixture.Fetch(RequestFor(fixture, one.path, "r1"));
      // A stream that had begun is broken off: no whole answer, and no status.
      if (answer) BOOST_TEST(answer->status == 502);
      fixture.RunUntil([&] { return server.closed() == 1; });
      BOOST_TEST(server.bytes_sent() < kMostBytesOfOne);
      BOOST_TEST(server.connections() == 1);
      BOOST_TEST(fixture.gateway.open_calls() == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ManyAnswersWithoutEndTogetherStayWithinABound) {
  constexpr int kCalls = 60;
  // At a time; the host of a process may have five times as much.
  constexpr std::size_t kMostHeldBytes = 16U << 20U;
  GatewayFixture fixture;
  EndlessServer server(fixture.io, BodyWithoutEnd);
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  std::vector<std::shared_ptr<std::optional<HttpFetchResult>>> calls;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(
        fixture.Start(fixture.Request("/order/1", "r" + std::to_string(i))));
  }
  std::size_t most = 0;
  fixture.RunUntil([&] {
    most = std::max(most, HeldBytes(fixture));
    return server.closed() == kCalls;
  });
  BOOST_TEST(most > 0U);
  BOOST_TEST(most <= kMostHeldBytes);
  BOOST_TEST(HeldBytes(fixture) == 0U);
  for (const auto& call : calls) {
    fixture.RunUntil([&] { return call->has_value(); });
    BOOST_REQUIRE((*call)->response.has_value());
    BOOST_TEST((*call)->response->status == 502);
  }
}

BOOST_AUTO_TEST_CASE(SoundCallsAreServedBesideAnswersWithoutEnd) {
  GatewayFixture fixture;
  EndlessServer endless(fixture.io, OtherAnswersWithoutEnd);
  PlatformEngine sound(fixture.io, "i-2");
  fixture.SetPlan();
  fixture.Announce("i-1", endless.address(), "ledger");
  const auto without_end = fixture.Start(fixture.Request("/order/1", "r1"));
  fixture.RunUntil([&] { return endless.bytes_sent() > 0; });
  fixture.Announce("i-2", sound.address(), "ledger");
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    const auto answer =
        fixture.Fetch(fixture.Request("/stock/1", "s" + std::to_string(i)));
    if (answer && answer->status == 200) ++served;
  }
  BOOST_TEST(served >= sound.runs_started());
  BOOST_TEST(served > 0);
  fixture.RunUntil(
      [&] { return without_end->has_value() && endless.closed() == 1; });
  BOOST_TEST(fixture.gateway.open_calls() == 0U);
}

// A byte now and then is no progress of an answer: the route's timeout ends it.
BOOST_AUTO_TEST_CASE(AByteNowAndThenEndsAtTheTimeout) {
  for (const char* path : {"/order/1", "/talk/1"}) {
    for (const bool in_head : {true, false}) {
      GatewayFixture fixture;
      EndlessServer server(fixture.io, [&](const std::string& request) {
        EndlessResponse answer = in_head ? HeadWithoutEnd(request)
                                 : std::string(path) == "/talk/1"
                                     ? EventWithoutEnd(request)
                                     : ChunksWithoutEnd(request);
        answer.repeated = in_head ? "x" : Chunk("x");
        answer.interval = std::chrono::milliseconds(5);
        return answer;
      });
      fixture.SetPlan(/*timeout_ms=*/100);
      fixture.Announce("i-1", server.address(), ServiceOf(path));
      const auto answer = fixture.Fetch(RequestFor(fixture, path, "r1"));
      if (answer) BOOST_TEST(answer->status == 504);
      fixture.RunUntil([&] { return server.closed() == 1; });
      BOOST_TEST(fixture.gateway.open_calls() == 0U);
    }
  }
}

}  // namespace
}  // namespace coltsfootfork

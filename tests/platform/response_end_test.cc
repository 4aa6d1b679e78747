#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>

#include "platform/gateway_fixture.h"
#include "platform/scripted_server.h"

// How the end of a server's response reaches the caller: each way to delimit a
// response, with each way to end it.
namespace coltsfootfork {
namespace {

constexpr const char* kEvents = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
constexpr const char* kEventStream = "text/event-stream";

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

enum class Framing { kLength, kChunked, kNone };
constexpr Framing kFramings[] = {Framing::kLength, Framing::kChunked,
                                 Framing::kNone};

std::string MakeResponse(const std::string& request, Framing framing,
                         const std::string& type, const std::string& body,
                         int status = 200) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) +
                      " X\r\nRequest-Id: " + IdOf(request) +
                      "\r\nResponse-Signature: s\r\nContent-Type: " + type +
                      "\r\n";
  if (framing == Framing::kLength) {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  if (framing != Framing::kChunked) return bytes + "\r\n" + body;
  bytes += "Transfer-Encoding: chunked\r\n\r\n";
  for (const char byte : body) bytes += std::string("1\r\n") + byte + "\r\n";
  return bytes + "0\r\n\r\n";
}

// What the caller receives if a server responds with the bytes that `respond`
// returns and closes the connection; nullopt if that is incomplete.
std::optional<HttpResponse> FetchBytes(
    const std::string& path,
    const std::function<std::string(const std::string& request)>& respond,
    bool reset = false) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string& request, int) {
    return ScriptedResponse{respond(request), /*close=*/true, reset};
  });
  fixture.SetPlan();
  const bool is_engine = path == "/talk/1";
  fixture.Announce("i-1", server.address(), is_engine ? "model" : "ledger");
  return fixture.Fetch(is_engine ? fixture.StreamRequest(path, "r1")
                                 : fixture.Request(path, "r1"));
}

// What the caller receives of a response; nullopt if it is incomplete.
std::optional<HttpResponse> FetchThroughGateway(
    const std::string& path, Framing framing, const std::string& type,
    const std::string& body, std::size_t missing_bytes, bool reset) {
  return FetchBytes(
      path,
      [&](const std::string& request) {
        std::string bytes = MakeResponse(request, framing, type, body);
        bytes.resize(bytes.size() - missing_bytes);
        return bytes;
      },
      reset);
}

bool IsCompleteSuccess(const std::optional<HttpResponse>& response) {
  return response && response->status == 200;
}

BOOST_AUTO_TEST_CASE(WholeResponseIsCompleteInEachFraming) {
  for (const Framing framing : kFramings) {
    for (const char* path : {"/talk/1", "/sale/1"}) {
      for (const std::string type : {kEventStream, "text/plain"}) {
        const auto response =
            FetchThroughGateway(path, framing, type, kEvents, 0, false);
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == 200);
        BOOST_TEST(response->body == kEvents);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(StreamMayEndWithCommentsOrBlankLines) {
  for (const char* rest : {"\n", "\r\n", ": done\n", ": done\r\n: bye\n"}) {
    for (const Framing framing : kFramings) {
      const std::string body = std::string(kEvents) + rest;
      const auto response =
          FetchThroughGateway("/talk/1", framing, kEventStream, body, 0, false);
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->body == body);
    }
  }
}

BOOST_AUTO_TEST_CASE(StreamThatEndsInsideAnEventIsNotComplete) {
  for (const char* part :
       {"i", "id: 3", "id: 3\n", "id: 3\ndata: z", "id: 3\ndata: z\n",
        "id: 3\r\ndata: z\r\n", "id: 3\ndata: z\n\r", ": cut"}) {
    for (const Framing framing : kFramings) {
      for (const char* path : {"/talk/1", "/sale/1"}) {
        const std::string body = std::string(kEvents) + part;
        BOOST_TEST_CONTEXT(path << " " << part << " framing "
                                << static_cast<int>(framing)) {
          BOOST_TEST(!IsCompleteSuccess(FetchThroughGateway(
              path, framing, kEventStream, body, 0, false)));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ClosedStreamWithoutEventsIsNotComplete) {
  for (const char* body : {"", "\n", ": begin\n\n"}) {
    for (const char* path : {"/talk/1", "/sale/1"}) {
      for (const Framing framing : kFramings) {
        const auto response =
            FetchThroughGateway(path, framing, kEventStream, body, 0, false);
        BOOST_TEST(IsCompleteSuccess(response) == (framing != Framing::kNone));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(TruncatedOrResetResponseIsNotComplete) {
  for (const char* path : {"/talk/1", "/sale/1"}) {
    for (const std::string type : {kEventStream, "text/plain"}) {
      for (const Framing framing : {Framing::kLength, Framing::kChunked}) {
        for (const std::size_t missing_bytes : {1U, 5U, 6U, 12U}) {
          BOOST_TEST(!IsCompleteSuccess(FetchThroughGateway(
              path, framing, type, kEvents, missing_bytes, false)));
        }
      }
      BOOST_TEST(!IsCompleteSuccess(FetchThroughGateway(
          path, Framing::kNone, type, kEvents, 0, /*reset=*/true)));
    }
  }
}

// Guards against a body that is forwarded without a coding that it has.
BOOST_AUTO_TEST_CASE(ResponseWithOtherTransferCodingsIsNotComplete) {
  for (const char* fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"}) {
    for (const char* path : {"/talk/1", "/sale/1"}) {
      for (const char* type : {kEventStream, "text/plain"}) {
        BOOST_TEST(!IsCompleteSuccess(
            FetchBytes(path, [&](const std::string& request) {
              return "HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
                     "\r\nResponse-Signature: s\r\nContent-Type: " + type +
                     "\r\n" + fields + "\r\n1e\r\n" + kEvents + "\r\n0\r\n\r\n";
            })));
      }
    }
  }
}

// A resumable stream whose first server breaks off inside an event.
std::optional<HttpResponse> FetchResumed(
    const std::function<std::string(const std::string& request)>& rest,
    std::string* metrics = nullptr) {
  GatewayFixture fixture;
  int requests = 0;
  const auto script = [&](const std::string& request, int) {
    const bool is_first = requests++ == 0;
    return ScriptedResponse{
        is_first ? MakeResponse(request, Framing::kNone, kEventStream,
                                "id: 1\ndata: x\n\nid: 2\nda")
                 : rest(request),
        /*close=*/true, false};
  };
  ScriptedServer first_server(fixture.io, script);
  ScriptedServer second_server(fixture.io, script);
  fixture.SetPlan();
  fixture.Announce("i-1", first_server.address(), "model");
  fixture.Announce("i-2", second_server.address(), "model");
  // First attempts fill the retry budget.
  requests = 1;
  for (int i = 0; i < 10; ++i) {
    fixture.Fetch(fixture.StreamRequest("/verdict/1", "w" + std::to_string(i)));
  }
  requests = 0;
  auto response = fixture.Fetch(fixture.StreamRequest("/verdict/1", "r1"));
  if (metrics != nullptr) *metrics = fixture.gateway.MetricsText();
  return response;
}

BOOST_AUTO_TEST_CASE(StreamBrokenOffInsideAnEventIsResumed) {
  const auto response = FetchResumed([](const std::string& request) {
    return MakeResponse(request, Framing::kNone, kEventStream,
                        "id: 2\ndata: y\n\n");
  });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->body == kEvents);
}

BOOST_AUTO_TEST_CASE(ResumedStreamThatEndsInsideAnEventIsNotComplete) {
  const auto response = FetchResumed([](const std::string& request) {
    return MakeResponse(request, Framing::kNone, kEventStream,
                        "id: 2\ndata: y\n");
  });
  BOOST_TEST(!IsCompleteSuccess(response));
}

BOOST_AUTO_TEST_CASE(PlainResponseDoesNotEndAStartedStream) {
  for (const int status : {200, 404}) {
    std::string metrics;
    const auto response = FetchResumed(
        [&](const std::string& request) {
          return MakeResponse(request, Framing::kLength, "text/plain",
                              "no stream", status);
        },
        &metrics);
    BOOST_TEST(!response.has_value());
    BOOST_TEST(metrics.find("{outcome=\"broken_off\"} 1\n") !=
               std::string::npos);
  }
}

}  // namespace
}  // namespace coltsfootfork

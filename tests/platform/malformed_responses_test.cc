#include <boost/test/unit_test.hpp>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "platform/gateway_fixture.h"
#include "platform/scripted_server.h"

// Bytes of a server that are not an HTTP response, although they resemble one:
// the caller must get neither them nor a body that was read by them.
namespace coltsfootfork {
namespace {

constexpr const char* kEvents = "id: 1\ndata: x\n\n";
constexpr const char* kBodies[] = {
    "Content-Length: 15\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nf\r\n",
    "\r\n",
};

std::string Concatenate(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) text += part;
  return text;
}

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

// What a caller receives if the server responds with these bytes; nullopt if
// it is incomplete. "@" stands for the request's id.
std::optional<HttpResponse> Fetch(const std::string& path, std::string bytes,
                                  bool close) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string& request, int) {
    bytes.replace(bytes.find('@'), 1, IdOf(request));
    return ScriptedResponse{bytes, close, /*reset=*/false};
  });
  fixture.SetPlan();
  const bool is_engine = path == "/talk/1";
  fixture.Announce("i-1", server.address(), is_engine ? "model" : "ledger");
  return fixture.Fetch(is_engine ? fixture.StreamRequest(path, "r1")
                                 : fixture.Request(path, "r1"));
}

std::string Fields(const std::string& type) {
  return "Request-Id: @\r\nResponse-Signature: s\r\nContent-Type: " + type +
         "\r\n";
}

// Calls check(path, content type, framing fields and body) for each kind of
// response.
void ForEachKind(const std::function<void(const char* path, const char* type,
                                          const std::string& rest)>& check) {
  for (const char* path : {"/talk/1", "/sale/1"}) {
    for (const char* type : {"text/event-stream", "text/plain"}) {
      for (const char* body : kBodies) {
        const bool is_chunked = body == kBodies[1];
        std::string rest = body;
        rest += kEvents;
        check(path, type, is_chunked ? rest + "\r\n0\r\n\r\n" : rest);
      }
    }
  }
}

// Guards against a response that the caller gets, or that holds up the call,
// although its status is none.
BOOST_AUTO_TEST_CASE(ResponseWithoutValidStatusIsNotForwarded) {
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "0200", "20", "2x0"}) {
    ForEachKind([&](const char* path, const char* type,
                    const std::string& rest) {
      BOOST_TEST_CONTEXT(status << " " << path << " " << rest) {
        // The connection stays open: the call must not wait for another
        // response.
        const auto response = Fetch(
            path,
            Concatenate({"HTTP/1.1 ", status, " X\r\n", Fields(type), rest}),
            false);
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == 502);
      }
    });
  }
}

BOOST_AUTO_TEST_CASE(EachValidStatusIsForwarded) {
  for (const int status : {200, 206, 299, 301, 400, 404, 499, 500, 504, 599}) {
    const auto response =
        Fetch("/sale/1",
              "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                  Fields("text/plain") + "Content-Length: 2\r\n\r\nok",
              false);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == status);
    BOOST_TEST(response->body == "ok");
  }
}

BOOST_AUTO_TEST_CASE(InterimResponsesAreSkipped) {
  ForEachKind([](const char* path, const char* type, const std::string& rest) {
    const auto response =
        Fetch(path,
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
              "<x>\r\n\r\nHTTP/1.1 200 OK\r\n" +
                  Fields(type) + rest,
              true);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->body == kEvents);
  });
}

// Lines that are no field, since the name holds what no name may.
const std::string kBadLines[] = {
    " X-Name: v\r\n",
    "\tX-Name: v\r\n",
    " \t X-Name: v\r\n",
    "X-Name : v\r\n",
    "X-Name\t: v\r\n",
    "X Name: v\r\n",
    std::string("X-\0Name: v\r\n", 12),
    "\x01X-Name: v\r\n",
    "X-Name\x1f: v\r\n",
    "X\x7fName: v\r\n",
    "X\x0bName: v\r\n",
    ": v\r\n",
    "X-Name\r\n",
    " Content-Length: 1\r\n",
    "\tContent-Length: 1\r\n",
    "Content-Length : 1\r\n",
    " Transfer-Encoding: chunked\r\n",
    " \r\n",
};

bool IsSuccess(const std::optional<HttpResponse>& response) {
  return response && response->status < 300;
}

// Guards against a malformed line that is joined to the field before it, or
// passed on, and against a body whose end such a line hides.
BOOST_AUTO_TEST_CASE(ResponseWithMalformedFieldNameIsNotForwarded) {
  for (const std::string& line : kBadLines) {
    ForEachKind(
        [&](const char* path, const char* type, const std::string& rest) {
          const std::string fields = Fields(type);
          for (const std::string& head : {line + fields, fields + line}) {
            BOOST_TEST_CONTEXT(path << " " << head << rest) {
              const auto response = Fetch(
                  path, Concatenate({"HTTP/1.1 200 OK\r\n", head, rest}), true);
              BOOST_REQUIRE(response.has_value());
              BOOST_TEST(response->status == 502);
            }
          }
        });
  }
}

BOOST_AUTO_TEST_CASE(ErrorWithMalformedFieldNameIsNotForwarded) {
  for (const char* status : {"404 Not Found", "500 Error", "503 Busy"}) {
    for (const std::string& line : kBadLines) {
      const auto response = Fetch(
          "/sale/1",
          std::string("HTTP/1.1 ") + status + "\r\n" + Fields("text/plain") +
              "Not-Executed: full\r\n" + line + "Content-Length: 2\r\n\r\nno",
          false);
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->status == 502);
    }
  }
}

BOOST_AUTO_TEST_CASE(MalformedFieldNameInTrailerMakesResponseIncomplete) {
  for (const std::string& line : kBadLines) {
    for (const char* before : {"", "X-Trailer: t\r\n"}) {
      for (const char* path : {"/talk/1", "/sale/1"}) {
        for (const char* type : {"text/event-stream", "text/plain"}) {
          const auto response =
              Fetch(path,
                    "HTTP/1.1 200 OK\r\n" + Fields(type) + kBodies[1] +
                        kEvents + "\r\n0\r\n" + before + line + "\r\n",
                    false);
          BOOST_TEST(!IsSuccess(response), path << before << line);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(MalformedFieldNameInInterimResponseEndsTheExchange) {
  for (const std::string& line : kBadLines) {
    for (const char* before : {"", "Link: <x>\r\n"}) {
      ForEachKind([&](const char* path, const char* type,
                      const std::string& rest) {
        const auto response =
            Fetch(path,
                  Concatenate({"HTTP/1.1 103 Early Hints\r\n", before, line,
                               "\r\nHTTP/1.1 200 OK\r\n", Fields(type), rest}),
                  true);
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == 502);
      });
    }
  }
}

// A head of up to 32 KiB is read, and a longer one is as a response that breaks
// off.
BOOST_AUTO_TEST_CASE(LongFieldOfResponseIsForwardedOrRejected) {
  for (const std::size_t size :
       {30'000U, 40'000U, 65'534U, 70'000U, 200'000U}) {
    const std::string value(size, 'v');
    const auto response = Fetch(
        "/sale/1",
        Concatenate({"HTTP/1.1 200 OK\r\n", Fields("text/plain"),
                     "X-Long: ", value, "\r\nContent-Length: 2\r\n\r\nok"}),
        false);
    BOOST_REQUIRE(response.has_value());
    if (size > 32U << 10U) {
      BOOST_TEST(response->status == 502);
    } else {
      BOOST_TEST(response->status == 200);
      BOOST_TEST(FieldOf(*response, "X-Long") == value);
    }
  }
}

BOOST_AUTO_TEST_CASE(MalformedResponseIsCounted) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string&, int) {
    return ScriptedResponse{"HTTP/1.1 000 X\r\n\r\n", false, false};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_TEST(fixture.gateway.MetricsText().find(
                 "{event=\"response_malformed\"} 1\n") != std::string::npos);
}

// Guards against a timeout of a server that overflows, and against reading it
// from released memory, which AddressSanitizer reports.
BOOST_AUTO_TEST_CASE(AnyKeepAliveTimeoutIsAccepted) {
  for (const char* timeout : {"9223372036854775807", "-9223372036854775808",
                              "-1", "0", "99999999999999999999", "x"}) {
    const auto response = Fetch("/sale/1",
                                "HTTP/1.1 200 OK\r\n" + Fields("text/plain") +
                                    "Keep-Alive: timeout=" + timeout +
                                    "\r\nContent-Length: 2\r\n\r\nok",
                                false);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body == "ok");
  }
}

}  // namespace
}  // namespace coltsfootfork

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "platform/scripted_server.h"
#include "shell/net/ip_address.h"

// The gateway in front of correct and faulty stand-ins for the platform's
// servers.
namespace coltsfootfork {
namespace {

std::string IdOf(const std::string& request) {
  const std::string name = "Request-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

std::string MakeResponse(const std::string& id, const std::string& body,
                         int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id +
         "\r\nResponse-Signature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

BOOST_AUTO_TEST_CASE(ResponseIsForwardedUnchangedAndKeyIsRemoved) {
  GatewayFixture fixture;
  PlatformEngine server(fixture.io, "i-1");
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "from i-1");
  BOOST_TEST(FieldOf(*response, "Response-Signature") == "by-i-1");
  BOOST_TEST(server.LastRequestField("Tenant") == "workspace");
  BOOST_TEST(server.LastRequestField("Credential") == "");
  BOOST_TEST(server.LastRequestField("Expect-Instance") == "i-1");
  BOOST_TEST(std::stoi(server.LastRequestField("Deadline-Ms")) <= 10000);
}

BOOST_AUTO_TEST_CASE(InvalidCallsGetDistinctStatuses) {
  GatewayFixture fixture;
  PlatformEngine server(fixture.io, "i-1");
  fixture.Announce("i-1", server.address(), "ledger");
  // Without a plan, the gateway must not report that a route does not exist.
  auto response = fixture.Fetch(fixture.Request("/sale/1", "r0"));
  BOOST_TEST(response->status == 503);
  BOOST_TEST(FieldOf(*response, "Retry-After") != "");
  fixture.SetPlan();
  BOOST_TEST(fixture.Fetch(fixture.Request("/none/1", "r1"))->status == 404);
  HttpRequest unknown_key_request = fixture.Request("/sale/1", "r2");
  unknown_key_request.fields[2].value = "another key";
  BOOST_TEST(fixture.Fetch(unknown_key_request)->status == 401);
  unknown_key_request.target = "/open/1";
  BOOST_TEST(fixture.Fetch(unknown_key_request)->status == 200);
  BOOST_TEST(server.LastRequestField("Tenant") == "");
}

BOOST_AUTO_TEST_CASE(CallRejectedByTheOnlyServerIsReportedAsNotRun) {
  GatewayFixture fixture;
  PlatformEngine server(fixture.io, "i-1");
  server.SetRejectsCalls(true);
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  const auto rejected = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_TEST(rejected->status == 503);
  BOOST_TEST(FieldOf(*rejected, "Retry-After") != "");
  BOOST_TEST(server.runs_started() == 0);
}

BOOST_AUTO_TEST_CASE(CallToReusedAddressIsNotRun) {
  GatewayFixture fixture;
  PlatformEngine other(fixture.io, "i-2");
  fixture.SetPlan();
  fixture.Announce("i-1", other.address(), "ledger");
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r1"))->status == 503);
  BOOST_TEST(other.runs_started() == 0);
}

BOOST_AUTO_TEST_CASE(NonIdempotentCallThatMayHaveRunIsNotRetried) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string&, int) {
    return ScriptedResponse{"", false, true};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/order/1", "r1"));
  BOOST_TEST(response->status == 502);
  BOOST_TEST(FieldOf(*response, "Retry-After") == "");
  BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(IdempotentCallIsRetriedOnAnotherServer) {
  GatewayFixture fixture;
  int request_count = 0;
  const auto script = [&](const std::string& request, int) {
    if (request_count++ == 0) return ScriptedResponse{"", false, true};
    return ScriptedResponse{MakeResponse(IdOf(request), "read"), false, false};
  };
  ScriptedServer first_server(fixture.io, script);
  ScriptedServer second_server(fixture.io, script);
  fixture.SetPlan();
  fixture.Announce("i-1", first_server.address(), "ledger");
  fixture.Announce("i-2", second_server.address(), "ledger");
  // First attempts fill the retry budget.
  request_count = 1;
  for (int i = 0; i < 10; ++i) {
    fixture.Fetch(fixture.Request("/stock/1", "w" + std::to_string(i)));
  }
  request_count = 0;
  const auto response = fixture.Fetch(fixture.Request("/stock/1", "r1"));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "read");
  BOOST_TEST(request_count == 2);
}

BOOST_AUTO_TEST_CASE(ServerErrorIsForwardedUnchanged) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return ScriptedResponse{MakeResponse(IdOf(request), "broken inside", 500)};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_TEST(response->status == 500);
  BOOST_TEST(response->body == "broken inside");
  BOOST_TEST(FieldOf(*response, "Response-Signature") == "s");
}

// A server may send a late response to an earlier call where the response to
// the current call is expected.
BOOST_AUTO_TEST_CASE(ResponseToAnotherCallIsSkipped) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return ScriptedResponse{MakeResponse("an earlier call", "not this one") +
                            MakeResponse(IdOf(request), "this one")};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "this one");
}

BOOST_AUTO_TEST_CASE(ExtraBytesAfterResponseCloseTheConnection) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return ScriptedResponse{MakeResponse(IdOf(request), "whole") +
                            MakeResponse("extra", "extra")};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  for (int i = 0; i < 3; ++i) {
    const auto response =
        fixture.Fetch(fixture.Request("/sale/1", "r" + std::to_string(i)));
    BOOST_TEST(response->body == "whole");
  }
  BOOST_TEST(server.connections() == 3);
}

BOOST_AUTO_TEST_CASE(ConnectionIsReusedAfterCompleteResponse) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return ScriptedResponse{MakeResponse(IdOf(request), "whole")};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  for (int i = 0; i < 3; ++i) {
    fixture.Fetch(fixture.Request("/sale/1", "r" + std::to_string(i)));
  }
  BOOST_TEST(server.connections() == 1);
}

BOOST_AUTO_TEST_CASE(ConnectionIsNotReusedAfterItsKeepAliveTimeout) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    std::string response = MakeResponse(IdOf(request), "whole");
    response.insert(response.find("\r\n") + 2,
                    "Keep-Alive: timeout=0, max=100\r\n");
    return ScriptedResponse{response};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  for (int i = 0; i < 3; ++i) {
    const auto response =
        fixture.Fetch(fixture.Request("/sale/1", "r" + std::to_string(i)));
    BOOST_TEST(response->body == "whole");
  }
  BOOST_TEST(server.connections() == 3);
}

BOOST_AUTO_TEST_CASE(ResponseMayEndWithCloseButNotWithReset) {
  GatewayFixture fixture;
  bool reset = false;
  ScriptedServer server(fixture.io, [&](const std::string& request, int) {
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
        "\r\nResponse-Signature: s\r\n\r\nall of it";
    return ScriptedResponse{bytes, !reset, reset};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "all of it");
  reset = true;
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r2"))->status == 502);
}

BOOST_AUTO_TEST_CASE(TruncatedBodyIsAnError) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    std::string bytes = MakeResponse(IdOf(request), "a body of some length");
    bytes.resize(bytes.size() - 5);
    return ScriptedResponse{bytes, true, false};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r1"))->status == 502);
}

// The response is truncated at the end of a chunk, so that only the missing
// last chunk shows the truncation.
BOOST_AUTO_TEST_CASE(ResponseTruncatedBetweenChunksIsAnError) {
  for (const char* path : {"/sale/1", "/talk/1"}) {
    const bool stream = std::string(path) == "/talk/1";
    GatewayFixture fixture;
    ScriptedServer server(fixture.io, [&](const std::string& request, int) {
      const std::string type = stream ? "text/event-stream" : "text/plain";
      return ScriptedResponse{
          "HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
              "\r\nResponse-Signature: s\r\nContent-Type: " + type +
              "\r\nTransfer-Encoding: chunked\r\n\r\n"
              "f\r\nid: 1\ndata: x\n\n\r\n",
          true, false};
    });
    fixture.SetPlan();
    fixture.Announce("i-1", server.address(), stream ? "model" : "ledger");
    const auto response =
        fixture.Fetch(stream ? fixture.StreamRequest(path, "r1")
                             : fixture.Request(path, "r1"));
    // A stream that has started is aborted for its caller as well.
    if (stream) {
      BOOST_TEST(!response.has_value());
    } else {
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->status == 502);
    }
    BOOST_TEST(server.requests().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(InvalidHttpIsNotForwarded) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string&, int) {
    return ScriptedResponse{"\x01\x02 not HTTP at all\r\n\r\n"};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r1"))->status == 502);
}

BOOST_AUTO_TEST_CASE(SuccessWithoutSignatureIsAnError) {
  GatewayFixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& request, int) {
    return ScriptedResponse{"HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request) +
                            "\r\nContent-Length: 2\r\n\r\nok"};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  BOOST_TEST(fixture.Fetch(fixture.Request("/sale/1", "r1"))->status == 502);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectClosesServerConnection) {
  GatewayFixture fixture;
  ScriptedServer server(
      fixture.io, [](const std::string&, int) { return ScriptedResponse{}; });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  {
    boost::asio::ip::tcp::socket caller(fixture.io);
    caller.connect(fixture.callers.local_endpoint());
    const std::string request =
        "POST /sale/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
        "Credential: key\r\nContent-Length: 0\r\n\r\n";
    caller.write_some(boost::asio::buffer(request));
    fixture.RunUntil([&] { return server.requests().size() == 1; });
  }
  fixture.RunUntil([&] { return server.closed() == 1; });
  BOOST_TEST(fixture.gateway.open_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(ExpiredCallIsAnsweredAndServerConnectionClosed) {
  GatewayFixture fixture;
  ScriptedServer server(
      fixture.io, [](const std::string&, int) { return ScriptedResponse{}; });
  fixture.SetPlan(/*timeout_ms=*/50);
  fixture.Announce("i-1", server.address(), "ledger");
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  // The call may have run, so the status must not claim that it has not.
  BOOST_TEST(response->status == 504);
  fixture.RunUntil([&] { return server.closed() == 1; });
}

BOOST_AUTO_TEST_CASE(CallWithoutServersIsRefusedAsNotRun) {
  GatewayFixture fixture;
  fixture.SetPlan();
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_TEST(response->status == 503);
  BOOST_TEST(FieldOf(*response, "Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(DrainingServerReceivesNoCalls) {
  GatewayFixture fixture;
  PlatformEngine first_server(fixture.io, "i-1");
  PlatformEngine second_server(fixture.io, "i-2");
  fixture.SetPlan();
  fixture.Announce("i-1", first_server.address(), "ledger");
  fixture.Announce("i-2", second_server.address(), "ledger");
  fixture.Announce("i-1", first_server.address(), "ledger",
                   ServerState::kDraining);
  const int runs_before = first_server.runs_started();
  for (int i = 0; i < 10; ++i) {
    fixture.Fetch(fixture.Request("/sale/1", "r" + std::to_string(i)));
  }
  BOOST_TEST(first_server.runs_started() == runs_before);
  BOOST_TEST(second_server.runs_started() == 10);
}

// Bytes that the caller does not read use the gateway's memory, which its host
// limits.
BOOST_AUTO_TEST_CASE(StreamOfSlowCallerIsAbortedAtBufferLimit) {
  GatewayFixture fixture;
  constexpr int kEvents = 400;
  HttpServer server(
      fixture.io, ParseEndpoint("127.0.0.1:0").value(), {},
      [](const HttpRequest& request, const auto& exchange) {
        exchange->StartStream(
            {200,
             "text/event-stream",
             {{"Request-Id", std::string(request.Field("Request-Id"))},
              {"Response-Signature", "s"}},
             {}});
        const std::string data(64U << 10U, 'x');
        for (int i = 1; i <= kEvents; ++i) {
          exchange->WriteChunk("id: " + std::to_string(i) + "\ndata: " + data +
                               "\n\n");
        }
      });
  fixture.SetPlan();
  fixture.Announce("i-1", FormatEndpoint(server.local_endpoint()), "model");
  const HttpRequest request = fixture.StreamRequest("/talk/1", "r1");
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const HttpField& field : request.fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += "Content-Length: 0\r\n\r\n";
  boost::asio::ip::tcp::socket caller(fixture.io);
  caller.connect(fixture.callers.local_endpoint());
  boost::asio::write(caller, boost::asio::buffer(text));
  fixture.RunUntil([&] {
    return fixture.gateway.MetricsText().find("slow_caller\"} 1") !=
           std::string::npos;
  });
  BOOST_TEST(fixture.gateway.open_calls() == 0U);
}

// Guards against a field below the limit of the head that ends the process when
// it is forwarded.
BOOST_AUTO_TEST_CASE(LongFieldIsForwardedWhole) {
  GatewayFixture fixture;
  HttpLimits limits;
  limits.header_bytes = 128U << 10U;
  fixture.callers.SetLimits(limits);
  std::string forwarded;
  ScriptedServer server(fixture.io, [&](const std::string& request, int) {
    forwarded = request;
    return ScriptedResponse{
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
        "Content-Length: 2\r\n\r\nok",
        false, false};
  });
  fixture.SetPlan();
  fixture.Announce("i-1", server.address(), "ledger");
  HttpRequest request = fixture.Request("/stock/1", "r1");
  const std::string value(100'000, 'v');
  request.fields.push_back({"X-Long", value});
  const auto response = fixture.Fetch(request);
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 200);
  BOOST_TEST(forwarded.find("\r\nX-Long: " + value + "\r\n") !=
             std::string::npos);
}

}  // namespace
}  // namespace coltsfootfork

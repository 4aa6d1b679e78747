#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <sstream>
#include <string>

#include "adapters/adapter_fixture.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const std::string kToken0 = "data: {\"index\":0,\"text\":\"x\"}\n\n";
const std::string kFinished =
    "data: {\"finish_reason\":\"stop\",\"token_count\":1}\n\n";

// A server that sends the given bytes in response to each call and closes the
// connection.
struct ScriptedServerFixture : AdapterFixture {
  ScriptedServerFixture() {
    std::ostringstream address;
    address << acceptor.local_endpoint();
    Announce(address.str());
  }

  std::string OutcomeOfResponse(const std::string& bytes) {
    const std::string request = "r" + std::to_string(++requests);
    auto socket = std::make_shared<tcp::socket>(io);
    auto head = std::make_shared<std::string>();
    acceptor.async_accept(*socket, [=](auto) {
      asio::async_read_until(*socket, asio::dynamic_buffer(*head), "\"}",
                             [=](auto, std::size_t) {
                               asio::write(*socket, asio::buffer(bytes));
                               socket->close();
                             });
    });
    Submit(request, "a");
    RunUntil([&] { return !OutcomeOf(request).empty(); });
    last_request = request;
    return OutcomeOf(request);
  }

  tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
  int requests = 0;
  std::string last_request;
};

BOOST_FIXTURE_TEST_CASE(TruncatedStreamIsInterrupted, ScriptedServerFixture) {
  BOOST_TEST(OutcomeOfResponse(kStreamHead + "\r\n" + kToken0 + kFinished) ==
             "completed");
  BOOST_TEST(OutcomeOfResponse(kStreamHead + "\r\n" + kToken0) ==
             "interrupted");
  BOOST_TEST(Tokens(last_request) == "x;");
  BOOST_TEST(OutcomeOfResponse(kStreamHead + "Content-Length: 500\r\n\r\n" +
                               kToken0) == "interrupted");
  BOOST_TEST(OutcomeOfResponse(kStreamHead) == "interrupted");
  BOOST_TEST(OutcomeOfResponse("") == "interrupted");
  BOOST_TEST(findings.empty());
}

BOOST_FIXTURE_TEST_CASE(EventStreamOfPlainServiceMustNotEndInsideAnEvent,
                        ScriptedServerFixture) {
  kind = RequestKind::kPlainCall;
  const std::string events = "id: 1\ndata: x\n\n";
  const auto outcomes_of = [&](const std::string& body) {
    std::string closed = kStreamHead;
    closed += "\r\n";
    closed += body;
    std::string delimited = kStreamHead;
    delimited += "Content-Length: ";
    delimited += std::to_string(body.size());
    delimited += "\r\n\r\n";
    delimited += body;
    return OutcomeOfResponse(closed) + " " + OutcomeOfResponse(delimited);
  };
  for (const char* rest : {"", "\n", ": end\n"}) {
    BOOST_TEST(outcomes_of(events + rest) == "completed completed");
  }
  for (const char* rest : {"i", "id: 2\n", "data: y", "data: y\n"}) {
    BOOST_TEST(outcomes_of(events + rest) == "interrupted interrupted");
  }
  BOOST_TEST(outcomes_of("") == "interrupted completed");
  BOOST_TEST(OutcomeOfResponse(kStreamHead + "Content-Length: 500\r\n\r\n" +
                               events) == "interrupted");
}

BOOST_FIXTURE_TEST_CASE(EventsAfterTheEndAreIgnored, ScriptedServerFixture) {
  BOOST_TEST(OutcomeOfResponse(kStreamHead + "\r\n" + kToken0 + kFinished +
                               kToken0 + kFinished) == "completed");
  BOOST_TEST(Tokens(last_request) == "x;");
}

BOOST_FIXTURE_TEST_CASE(MalformedResponseIsInterrupted, ScriptedServerFixture) {
  const std::string malformed_responses[] = {
      kStreamHead + "\r\ndata: {\"index\":-1,\"text\":\"x\"}\n\n" + kFinished,
      kStreamHead + "\r\ndata: " + std::string(2000, 'x') + "\n\n" + kFinished,
      kStreamHead + "X-Request-Id: another\r\n\r\n" + kToken0 + kFinished,
      "HTTP/1.1 500 Oops\r\n\r\n" + std::string(5000, 'x'),
  };
  for (const std::string& bytes : malformed_responses) {
    findings.clear();
    BOOST_TEST(OutcomeOfResponse(bytes) == "interrupted", bytes.substr(0, 100));
    BOOST_TEST(Tokens(last_request) == "");
    BOOST_TEST(findings.size() == 1U);
  }
  BOOST_TEST(OutcomeOfResponse("no HTTP at all\r\n\r\n") == "interrupted");
}

BOOST_FIXTURE_TEST_CASE(Only503WithNotRunIsRefused, ScriptedServerFixture) {
  const std::string head = "HTTP/1.1 503 Busy\r\nContent-Length: ";
  BOOST_TEST(OutcomeOfResponse(head + "16\r\n\r\n{\"not_run\":true}") ==
             "refused");
  BOOST_TEST(OutcomeOfResponse(head + "4\r\n\r\nbusy") == "completed");
  BOOST_TEST(Received<EngineCompleted>().back().status == 503);
  BOOST_TEST(OutcomeOfResponse(head + "99\r\n\r\n{\"not_run\":true}") ==
             "interrupted");
}

// Guards against a response without a valid status, and an interim one, that
// the caller gets as the response.
BOOST_FIXTURE_TEST_CASE(OnlyFinalResponseCompletesTheRequest,
                        ScriptedServerFixture) {
  kind = RequestKind::kPlainCall;
  const std::string rest = "Content-Length: 2\r\n\r\nok";
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    BOOST_TEST(OutcomeOfResponse(std::string("HTTP/1.1 ") + status + " X\r\n" +
                                 rest) == "interrupted");
  }
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n";
  BOOST_TEST(OutcomeOfResponse(interim) == "interrupted");
  BOOST_TEST(OutcomeOfResponse(interim + interim + "HTTP/1.1 404 No\r\n" +
                               rest) == "completed");
  BOOST_TEST(Received<EngineCompleted>().back().status == 404);
}

BOOST_FIXTURE_TEST_CASE(OnlyFailedConnectionIsNeverSent, AdapterFixture) {
  Submit("unannounced", "a");
  RunUntil([&] { return !OutcomeOf("unannounced").empty(); });
  BOOST_TEST(OutcomeOf("unannounced") == "never sent");
  std::ostringstream unused_address;
  unused_address << tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0})
                        .local_endpoint();
  Announce(unused_address.str());
  Submit("unheard", "a");
  RunUntil([&] { return !OutcomeOf("unheard").empty(); });
  BOOST_TEST(OutcomeOf("unheard") == "never sent");
}

BOOST_FIXTURE_TEST_CASE(RequestThatInjectsHeaderIsRefused,
                        ScriptedServerFixture) {
  Dispatch dispatch;
  dispatch.request = RequestId("forged");
  dispatch.target = "/x HTTP/1.1\r\nX-Priority: 0";
  adapter.Send(EngineSubmit{dispatch});
  RunUntil([&] { return !OutcomeOf("forged").empty(); });
  BOOST_TEST(OutcomeOf("forged") == "refused");
}

}  // namespace
}  // namespace coltsfootfork

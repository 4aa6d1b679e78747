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
const std::string kEnd =
    "data: {\"finish_reason\":\"stop\",\"token_count\":1}\n\n";

// A server that answers each call with given bytes and closes.
struct ScriptFixture : AdapterFixture {
  ScriptFixture() {
    std::ostringstream address;
    address << acceptor.local_endpoint();
    Announce(address.str());
  }

  std::string Answer(const std::string& bytes) {
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
    RunUntil([&] { return !End(request).empty(); });
    last = request;
    return End(request);
  }

  tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
  int requests = 0;
  std::string last;
};

BOOST_FIXTURE_TEST_CASE(AStreamThatIsCutIsInterrupted, ScriptFixture) {
  BOOST_TEST(Answer(kStreamHead + "\r\n" + kToken0 + kEnd) == "completed");
  BOOST_TEST(Answer(kStreamHead + "\r\n" + kToken0) == "interrupted");
  BOOST_TEST(Tokens(last) == "x;");
  BOOST_TEST(Answer(kStreamHead + "Content-Length: 500\r\n\r\n" + kToken0) ==
             "interrupted");
  BOOST_TEST(Answer(kStreamHead) == "interrupted");
  BOOST_TEST(Answer("") == "interrupted");
  BOOST_TEST(findings.empty());
}

BOOST_FIXTURE_TEST_CASE(NothingAfterTheEndCounts, ScriptFixture) {
  BOOST_TEST(Answer(kStreamHead + "\r\n" + kToken0 + kEnd + kToken0 + kEnd) ==
             "completed");
  BOOST_TEST(Tokens(last) == "x;");
}

BOOST_FIXTURE_TEST_CASE(AnAnswerThatCannotBeReadIsInterrupted, ScriptFixture) {
  const std::string unreadable[] = {
      kStreamHead + "\r\ndata: {\"index\":-1,\"text\":\"x\"}\n\n" + kEnd,
      kStreamHead + "\r\ndata: " + std::string(2000, 'x') + "\n\n" + kEnd,
      kStreamHead + "X-Request-Id: another\r\n\r\n" + kToken0 + kEnd,
      "HTTP/1.1 500 Oops\r\n\r\n" + std::string(5000, 'x'),
  };
  for (const std::string& bytes : unreadable) {
    findings.clear();
    BOOST_TEST(Answer(bytes) == "interrupted", bytes.substr(0, 100));
    BOOST_TEST(Tokens(last) == "");
    BOOST_TEST(findings.size() == 1U);
  }
  BOOST_TEST(Answer("no HTTP at all\r\n\r\n") == "interrupted");
}

BOOST_FIXTURE_TEST_CASE(OnlyA503ThatSaysSoIsNotRun, ScriptFixture) {
  const std::string head = "HTTP/1.1 503 Busy\r\nContent-Length: ";
  BOOST_TEST(Answer(head + "16\r\n\r\n{\"not_run\":true}") == "refused");
  BOOST_TEST(Answer(head + "4\r\n\r\nbusy") == "completed");
  BOOST_TEST(Got<EngineCompleted>().back().status == 503);
  BOOST_TEST(Answer(head + "99\r\n\r\n{\"not_run\":true}") == "interrupted");
}

BOOST_FIXTURE_TEST_CASE(OnlyAMissingConnectionIsNeverSent, AdapterFixture) {
  Submit("unannounced", "a");
  RunUntil([&] { return !End("unannounced").empty(); });
  BOOST_TEST(End("unannounced") == "never sent");
  std::ostringstream closed;
  closed << tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0})
                .local_endpoint();
  Announce(closed.str());
  Submit("unheard", "a");
  RunUntil([&] { return !End("unheard").empty(); });
  BOOST_TEST(End("unheard") == "never sent");
}

BOOST_FIXTURE_TEST_CASE(ARequestThatWouldForgeAHeadIsRefused, ScriptFixture) {
  Dispatch dispatch;
  dispatch.request = RequestId("forged");
  dispatch.target = "/x HTTP/1.1\r\nX-Priority: 0";
  adapter.Send(EngineSubmit{dispatch});
  RunUntil([&] { return !End("forged").empty(); });
  BOOST_TEST(End("forged") == "refused");
}

}  // namespace
}  // namespace coltsfootfork

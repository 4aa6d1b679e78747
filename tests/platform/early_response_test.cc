#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "platform/gateway_fixture.h"
#include "shell/net/ip_address.h"

// How a response reaches the caller that a server sends while the request is
// still being written to it.
namespace coltsfootfork {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// More than the sockets between the gateway and the server buffer.
constexpr std::size_t kUploadBytes = 12U << 20U;
constexpr std::size_t kServerBufferBytes = 64U << 10U;
constexpr const char* kEvents = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

enum class Framing { kLength, kChunked, kNone };
// What the server does after its response.
enum class End {
  // Closes the connection with a TCP reset.
  kReset,
  // Closes its side of the connection, and reads the rest of the request.
  kFinish,
  // Reads the rest of the request and keeps the connection.
  kKeep,
};

// Responds as soon as it has read the head of a request.
class EarlyServer {
 public:
  EarlyServer(boost::asio::io_context& io, std::string rest_of_response,
              End end)
      : acceptor_(io), rest_(std::move(rest_of_response)), end_(end) {
    const tcp::endpoint any_port = ParseEndpoint("127.0.0.1:0").value();
    acceptor_.open(any_port.protocol());
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kServerBufferBytes));
    acceptor_.bind(any_port);
    acceptor_.listen();
    Accept();
  }

  std::string address() const {
    return FormatEndpoint(acceptor_.local_endpoint());
  }
  // Bytes of requests that were not read when the response was sent.
  std::size_t read_after_response() const { return read_after_response_; }

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string received;
    bool responded = false;
    std::array<char, 4096> buffer{};
  };

  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      Read(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer),
        [this, connection](error_code error, std::size_t size) {
          if (error) return;
          if (connection->responded) {
            read_after_response_ += size;
            return Read(connection);
          }
          connection->received.append(connection->buffer.data(), size);
          if (connection->received.find("\r\n\r\n") == std::string::npos) {
            return Read(connection);
          }
          Respond(*connection);
          if (end_ != End::kReset) Read(connection);
        });
  }

  void Respond(Connection& connection) {
    connection.responded = true;
    const std::string name = "Request-Id: ";
    const std::size_t at = connection.received.find(name) + name.size();
    const std::string id = connection.received.substr(
        at, connection.received.find("\r\n", at) - at);
    error_code ignored;
    boost::asio::write(
        connection.socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                            "\r\nResponse-Signature: s\r\n" + rest_),
        ignored);
    if (end_ == End::kFinish) {
      connection.socket.shutdown(tcp::socket::shutdown_send, ignored);
    } else if (end_ == End::kReset) {
      connection.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                   ignored);
      connection.socket.close(ignored);
    }
  }

  tcp::acceptor acceptor_;
  std::string rest_;
  End end_;
  std::size_t read_after_response_ = 0;
};

std::string RestOfResponse(Framing framing, const std::string& type,
                           const std::string& body) {
  const std::string fields = "Content-Type: " + type + "\r\n";
  switch (framing) {
    case Framing::kLength:
      return fields + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    case Framing::kChunked: {
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", body.size());
      return fields + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" +
             body + "\r\n0\r\n\r\n";
    }
    case Framing::kNone:
      break;
  }
  return fields + "\r\n" + body;
}

// What the caller of a long upload receives; nullopt if it is incomplete.
std::optional<HttpResponse> Upload(const std::string& path,
                                   const std::string& rest_of_response,
                                   End end) {
  GatewayFixture fixture;
  HttpLimits limits;
  limits.body_bytes = kUploadBytes;
  fixture.callers.SetLimits(limits);
  EarlyServer server(fixture.io, rest_of_response, end);
  fixture.SetPlan();
  const bool is_engine = path == "/talk/1";
  fixture.Announce("i-1", server.address(), is_engine ? "model" : "ledger");
  HttpRequest request = is_engine ? fixture.StreamRequest(path, "r1")
                                  : fixture.Request(path, "r1");
  request.body = std::string(kUploadBytes, 'u');
  auto response = fixture.Fetch(request);
  // Otherwise the response came after the request.
  BOOST_TEST(server.read_after_response() < kUploadBytes);
  return response;
}

constexpr const char* kTypes[] = {"text/event-stream", "text/plain"};
constexpr const char* kPaths[] = {"/talk/1", "/sale/1"};

// Guards against a part of a response that the caller gets as a complete one:
// the write of the request takes the error of the reset, after which the read
// ends as if the server had closed the connection in order.
BOOST_AUTO_TEST_CASE(ResponseThatIsResetDuringAnUploadIsNotComplete) {
  for (const char* path : kPaths) {
    for (const char* type : kTypes) {
      BOOST_TEST_CONTEXT(path << " " << type) {
        const auto response = Upload(
            path, RestOfResponse(Framing::kNone, type, kEvents), End::kReset);
        BOOST_TEST(!(response && response->status == 200));
        const bool is_stream = path == kPaths[0] && type == kTypes[0];
        if (!is_stream) BOOST_TEST(response.value().status == 502);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(TruncatedResponseToAnUploadIsNotComplete) {
  for (const char* path : kPaths) {
    for (const char* type : kTypes) {
      for (const Framing framing : {Framing::kLength, Framing::kChunked}) {
        for (const End end : {End::kReset, End::kFinish}) {
          std::string rest = RestOfResponse(framing, type, kEvents);
          rest.resize(rest.size() - 5);
          const auto response = Upload(path, rest, end);
          BOOST_TEST(!(response && response->status == 200));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(WholeResponseToAnUploadIsDelivered) {
  for (const char* path : kPaths) {
    for (const char* type : kTypes) {
      for (const Framing framing :
           {Framing::kLength, Framing::kChunked, Framing::kNone}) {
        for (const End end : {End::kReset, End::kFinish, End::kKeep}) {
          // Such a response is complete only if its connection ends in order.
          if (framing == Framing::kNone && end != End::kFinish) continue;
          BOOST_TEST_CONTEXT(path << " " << type << " framing "
                                  << static_cast<int>(framing) << " end "
                                  << static_cast<int>(end)) {
            const auto response =
                Upload(path, RestOfResponse(framing, type, kEvents), end);
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->status == 200);
            BOOST_TEST(response->body == kEvents);
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace coltsfootfork

#include "soak/slow_servers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kEventBytes = 64U << 10U;
constexpr unsigned kHttp11 = 11;
// A server reads this many bytes, and then waits.
constexpr std::size_t kReadBytes = 16U << 10U;
constexpr std::chrono::milliseconds kReadInterval{25};
// Small, but more than the 64 KiB of a loopback segment: the kernel closes a
// connection whose window takes no whole segment for 3 s (TCP_USER_TIMEOUT).
constexpr int kReceiveBufferBytes = 256 << 10;

void RespondInBulk(const HttpRequest& request, HttpExchange& exchange) {
  const std::string call(request.Field("Request-Id"));
  HttpResponse response{
      200, "", {{"Request-Id", call}, {"Response-Signature", "bulk"}}, ""};
  if (request.target.rfind("/replay/", 0) != 0) {
    const std::string end = " for " + call;
    response.body = std::string(kBulkResponseBytes - end.size(), 'x') + end;
    return exchange.Respond(std::move(response));
  }
  response.content_type = "text/event-stream";
  exchange.StartStream(std::move(response));
  for (std::size_t i = 1; i <= kBulkStreamBytes / kEventBytes; ++i) {
    std::string event = "id: " + std::to_string(i) + "\ndata: ";
    event.resize(kEventBytes - 2, 'x');
    exchange.WriteChunk(event + "\n\n");
  }
  exchange.FinishStream();
}

}  // namespace

BulkServer::BulkServer(boost::asio::io_context& io)
    : server_(io, ParseEndpoint("127.0.0.1:0").value(), HttpLimits(),
              [](const HttpRequest& request,
                 const std::shared_ptr<HttpExchange>& exchange) {
                RespondInBulk(request, *exchange);
              }) {}

std::string BulkServer::address() const {
  return FormatEndpoint(server_.local_endpoint());
}

class SlowReadingServer::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::io_context& io, tcp::socket socket,
             std::shared_ptr<std::map<std::string, int>> runs)
      : socket_(std::move(socket)), timer_(io), runs_(std::move(runs)) {
    parser_.eager(true);
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(bytes_),
        [self = shared_from_this()](error_code error, std::size_t size) {
          if (error || !self->Parse(size)) return;
          if (self->parser_.is_done()) return self->Respond();
          self->timer_.expires_after(kReadInterval);
          self->timer_.async_wait([self](error_code wait_error) {
            if (!wait_error) self->Read();
          });
        });
  }

 private:
  // Parses the bytes. Returns false if the request is malformed.
  bool Parse(std::size_t size) {
    unparsed_.append(bytes_.data(), size);
    while (!parser_.is_done() && !unparsed_.empty()) {
      error_code error;
      const std::size_t parsed =
          parser_.put(boost::asio::buffer(unparsed_), error);
      unparsed_.erase(0, parsed);
      if (error == http::error::need_more) return true;
      if (error) return false;
    }
    return true;
  }
  void Respond() {
    const std::string call(parser_.get()["Request-Id"]);
    ++(*runs_)[call];
    response_ = {http::status::ok, kHttp11};
    response_.set("Request-Id", call);
    response_.set("Response-Signature", "slow");
    response_.body() = "taken for " + call;
    response_.keep_alive(false);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](error_code, std::size_t) {
                        error_code ignored;
                        self->socket_.close(ignored);
                      });
  }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::map<std::string, int>> runs_;
  std::vector<char> bytes_ = std::vector<char>(kReadBytes);
  std::string unparsed_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
};

SlowReadingServer::SlowReadingServer(boost::asio::io_context& io)
    : io_(io), acceptor_(io, tcp::v4()) {
  // The connections inherit the size.
  acceptor_.set_option(tcp::socket::receive_buffer_size(kReceiveBufferBytes));
  acceptor_.bind(ParseEndpoint("127.0.0.1:0").value());
  acceptor_.listen();
  Accept();
}

SlowReadingServer::~SlowReadingServer() = default;

std::string SlowReadingServer::address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

void SlowReadingServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      std::make_shared<Connection>(io_, std::move(socket), runs_)->Read();
    }
    Accept();
  });
}

}  // namespace coltsfootfork

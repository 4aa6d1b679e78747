#include "adapters/engine_port.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <utility>

#include "shell/net/message_parser.h"
#include "shell/net/peer_input.h"

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxHeaderBytes = 8U << 10U;

json ToProblem(http::status status, const Findings& findings) {
  json list = json::array();
  for (const Finding& finding : findings.list()) {
    list.push_back({{"place", finding.place}, {"problem", finding.problem}});
  }
  return {{"title", std::string(http::obsolete_reason(status))},
          {"status", static_cast<int>(status)},
          {"reason", "bad_request"},
          {"findings", std::move(list)}};
}

// More than a head. Limits the framing between the parts of a body, which the
// parser does not limit by itself.
constexpr std::size_t kMaxBufferBytes = 64U << 10U;

}  // namespace

// One connection to the port. Calls are handled one after the other.
class EnginePort::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<EnginePort> port, tcp::socket socket)
      : port_(std::move(port)), stream_(std::move(socket)) {
    ++port_->connections_;
  }
  ~Session() { --port_->connections_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read() {
    parser_.emplace(kMaxHeaderBytes, port_->limits_.max_body_bytes);
    stream_.expires_after(port_->limits_.timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          // Without another operation the session ends with its connection.
          static_cast<void>(
              HandlePeerInput("engine_call", [&] { self->OnRead(error); }));
        });
  }

 private:
  void OnRead(error_code error) {
    if (!port_->on_call_) return;
    Findings findings;
    if (!error) {
      const bool keep_alive = parser_->keep_alive();
      Call(parser_->TakeRequest(), &findings);
      return Write(keep_alive, findings);
    }
    // Only malformed HTTP gets an error response. A closed or failed connection
    // is not an error of the backend server.
    const bool connection_ended =
        error == http::error::end_of_stream ||
        error.category() != http::make_error_code(http::error()).category();
    if (connection_ended) return;
    findings.Add("", "cannot be read as HTTP: " + error.message());
    port_->on_call_("", "", &findings);
    Write(false, findings);
  }

  void Call(const HttpRequest& request, Findings* findings) {
    if (request.method != "POST") findings->Add("", "is not a POST");
    port_->on_call_(request.target, request.body, findings);
  }

  void Write(bool keep_alive, const Findings& findings) {
    const auto status =
        findings.empty() ? http::status::no_content : http::status::bad_request;
    response_ = {status, kHttp11};
    response_.keep_alive(keep_alive);
    if (!findings.empty()) {
      response_.set(http::field::content_type, "application/problem+json");
      response_.body() =
          ToProblem(status, findings)
              .dump(-1, ' ', false, json::error_handler_t::replace);
    }
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error && self->response_.keep_alive()) self->Read();
        });
  }

  std::shared_ptr<EnginePort> port_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_{kMaxBufferBytes};
  std::optional<RequestParser> parser_;
  http::response<http::string_body> response_;
};

EnginePort::EnginePort(boost::asio::io_context& io, const tcp::endpoint& listen,
                       const EnginePortLimits& limits, CallHandler on_call)
    : acceptor_(io, listen), limits_(limits), on_call_(std::move(on_call)) {}

void EnginePort::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (!self->acceptor_.is_open()) return;
        if (!error && self->connections_ < self->limits_.max_connections) {
          std::make_shared<Session>(self, std::move(socket))->Read();
        }
        self->Accept();
      });
}

void EnginePort::Close() {
  on_call_ = nullptr;
  error_code ignored;
  acceptor_.close(ignored);
}

std::string EnginePort::address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

}  // namespace coltsfootfork

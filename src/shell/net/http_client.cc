#include "shell/net/http_client.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "shell/net/ip_address.h"
#include "shell/net/message_parser.h"
#include "shell/net/message_serializer.h"
#include "shell/net/peer_input.h"

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxResponseBytes = 64U << 20U;
// More than a response's head. Limits the framing between the parts of a body,
// which the parser does not limit by itself.
constexpr std::size_t kMaxBufferBytes = 64U << 10U;

// One request in flight. Keeps itself alive until the callback has been called.
class Fetch : public std::enable_shared_from_this<Fetch> {
 public:
  Fetch(boost::asio::io_context& io, std::function<void(HttpFetchResult)> done)
      : stream_(io), done_(std::move(done)) {}

  void Start(const boost::asio::ip::tcp::endpoint& server,
             const HttpRequest& request, std::chrono::milliseconds timeout) {
    std::vector<HttpField> fields = request.fields;
    if (request.Field("Host").empty()) {
      fields.push_back({"Host", FormatEndpoint(server)});
    }
    fields.push_back({"Connection", "close"});
    text_ = SerializeRequest(request, fields);
    stream_.expires_after(timeout);
    stream_.async_connect(server,
                          [self = shared_from_this()](error_code error) {
                            self->OnConnected(error);
                          });
  }

 private:
  void OnConnected(error_code error) {
    if (error) return Fail(error, /*never_sent=*/true);
    boost::asio::async_write(
        stream_, boost::asio::buffer(text_),
        [self = shared_from_this()](error_code write_error, std::size_t) {
          self->OnWritten(write_error);
        });
  }

  void OnWritten(error_code error) {
    if (error) return Fail(error, /*never_sent=*/false);
    Read();
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code read_error, std::size_t) {
          const bool handled = HandlePeerInput(
              "fetched_response", [&] { self->OnRead(read_error); });
          if (handled) return;
          self->Fail(http::error::bad_value, /*never_sent=*/false);
        });
  }

  void OnRead(error_code error) {
    if (error) return Fail(error, /*never_sent=*/false);
    if (parser_->is_interim()) return Read();
    HttpResponse response = parser_->head();
    response.body = parser_->TakeBody();
    stream_.close();
    Finish({std::move(response), {}, false});
  }

  void Fail(error_code error, bool never_sent) {
    stream_.close();
    Finish({std::nullopt, error.message(), never_sent});
  }

  void Finish(HttpFetchResult result) {
    const auto done = std::exchange(done_, nullptr);
    if (done) done(std::move(result));
  }

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_{kMaxBufferBytes};
  std::string text_;
  std::optional<ResponseParser> parser_;
  std::function<void(HttpFetchResult)> done_;
};

}  // namespace

void HttpFetch(boost::asio::io_context& io,
               const boost::asio::ip::tcp::endpoint& server,
               const HttpRequest& request, std::chrono::milliseconds timeout,
               std::function<void(HttpFetchResult)> done) {
  std::make_shared<Fetch>(io, std::move(done))->Start(server, request, timeout);
}

}  // namespace coltsfootfork

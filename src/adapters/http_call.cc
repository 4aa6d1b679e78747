#include "adapters/http_call.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeaderBytes = 16 << 10;

}  // namespace

HttpCall::HttpCall(boost::asio::io_context& io, HttpCallRequest request,
                   HttpCallLimits limits, HttpCallHandlers handlers)
    : stream_(io),
      request_(std::move(request)),
      limits_(limits),
      handlers_(std::move(handlers)) {
  parser_.header_limit(kMaxHeaderBytes);
  parser_.skip(request_.method() == http::verb::head);
  // The length of a stream is not known in advance. The body handlers limit the
  // size of the data that they keep.
  parser_.body_limit(boost::none);
  parser_.get().body().sink = [this](std::string_view bytes) {
    return !closed_ && handlers_.on_body(bytes);
  };
}

void HttpCall::Start(const boost::asio::ip::tcp::endpoint& server) {
  stream_.expires_after(limits_.connect_timeout);
  stream_.async_connect(server, [self = shared_from_this()](error_code error) {
    if (error) return self->Finish(HttpCallResult::kConnectFailed);
    self->Write();
  });
}

void HttpCall::Close() {
  closed_ = true;
  error_code ignored;
  stream_.socket().close(ignored);
}

void HttpCall::Write() {
  if (closed_) return Finish(HttpCallResult::kInterrupted);
  error_code ignored;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  stream_.expires_after(limits_.idle_timeout);
  http::async_write(stream_, request_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) {
                        return self->Finish(HttpCallResult::kInterrupted);
                      }
                      self->ReadHead();
                    });
}

void HttpCall::ReadHead() {
  http::async_read_header(
      stream_, buffer_, parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        if (error) return self->Finish(HttpCallResult::kInterrupted);
        if (!self->closed_) {
          self->handlers_.on_head(self->parser_.get().base());
        }
        self->ReadBody();
      });
}

void HttpCall::ReadBody() {
  if (closed_) return Finish(HttpCallResult::kInterrupted);
  if (parser_.is_done()) return Finish(HttpCallResult::kComplete);
  stream_.expires_after(limits_.idle_timeout);
  http::async_read_some(
      stream_, buffer_, parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        if (error) return self->Finish(HttpCallResult::kInterrupted);
        self->ReadBody();
      });
}

void HttpCall::Finish(HttpCallResult end) {
  const HttpCallHandlers handlers = std::exchange(handlers_, {});
  error_code ignored;
  stream_.socket().close(ignored);
  if (!closed_) handlers.on_end(end);
}

}  // namespace coltsfootfork

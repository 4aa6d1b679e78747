#include "adapters/http_call.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "shell/net/peer_input.h"

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

}  // namespace

HttpCall::HttpCall(boost::asio::io_context& io, HttpCallRequest request,
                   HttpCallLimits limits, HttpCallHandlers handlers)
    : stream_(io),
      request_(std::move(request)),
      limits_(limits),
      handlers_(std::move(handlers)) {}

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
                      self->ReadResponse();
                    });
}

void HttpCall::ReadResponse() {
  parser_.emplace();
  parser_->skip(request_.method() == http::verb::head);
  Read();
}

void HttpCall::Read() {
  http::async_read_some(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        const bool handled =
            HandlePeerInput("engine_response", [&] { self->OnRead(error); });
        if (!handled) self->Finish(HttpCallResult::kInterrupted);
      });
}

void HttpCall::OnRead(error_code error) {
  // Bytes that precede a malformed part of the body are passed on.
  if (!ReportProgress() || error) return Finish(HttpCallResult::kInterrupted);
  // Interim responses do not extend the time for the final one.
  const bool is_interim = parser_->is_header_done() && parser_->is_interim();
  if (is_interim) return ReadResponse();
  if (parser_->is_done()) return Finish(HttpCallResult::kComplete);
  stream_.expires_after(limits_.idle_timeout);
  Read();
}

bool HttpCall::ReportProgress() {
  if (closed_) return false;
  if (!parser_->is_header_done() || parser_->is_interim()) return true;
  if (!std::exchange(head_reported_, true)) handlers_.on_head(parser_->head());
  const std::string body = parser_->TakeBody();
  return !closed_ && (body.empty() || handlers_.on_body(body)) && !closed_;
}

void HttpCall::Finish(HttpCallResult end) {
  const HttpCallHandlers handlers = std::exchange(handlers_, {});
  error_code ignored;
  stream_.socket().close(ignored);
  if (!closed_ && handlers.on_end) handlers.on_end(end);
}

}  // namespace coltsfootfork

#include "shell/gateway/server_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/peer_input.h"
#include "shell/net/socket_options.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// A server that takes longer to accept a connection counts as unreachable.
// Several times the longest round trip between two zones.
constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::size_t kReadBytes = 16U << 10U;
// Limit for bytes that the parser has not consumed: a chunk header or the
// trailer fields, whose size the parser does not limit.
constexpr std::size_t kMaxUnparsedBytes = 96U << 10U;
// Limit for bytes of skipped responses (interim or to other calls) in one
// exchange: a few responses of the usual size.
constexpr std::size_t kMaxSkippedBytes = 1U << 20U;
// How long a server is assumed to keep an idle connection if its response has
// no Keep-Alive timeout.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};
// Longer timeouts of servers have no effect.
constexpr std::chrono::seconds kMaxIdleTimeout{3600};
// An idle connection is closed this long before the server closes it.
constexpr std::chrono::milliseconds kIdleMargin{500};

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io,
                                   const CallProtocol& protocol)
    : socket_(io), timer_(io), protocol_(protocol) {}

void ServerConnection::Connect(asio::io_context& io,
                               const asio::ip::tcp::endpoint& server,
                               const CallProtocol& protocol,
                               ConnectHandler on_connected) {
  auto self = std::make_shared<ServerConnection>(io, protocol);
  self->timer_.expires_after(kConnectTimeout);
  self->timer_.async_wait([weak = self->weak_from_this()](error_code error) {
    const auto connection = weak.lock();
    error_code ignored;
    if (!error && connection && !connection->open_) {
      connection->socket_.close(ignored);
    }
  });
  self->socket_.async_connect(
      server, [self, on_connected = std::move(on_connected)](error_code error) {
        self->timer_.cancel();
        if (error || !self->socket_.is_open()) return on_connected(nullptr);
        self->open_ = true;
        SetLinkOptions(self->socket_);
        self->idle_since_ = MonotonicNow();
        self->idle_until_ = self->idle_since_ + kDefaultIdleTimeout;
        on_connected(self);
      });
}

void ServerConnection::Send(std::string bytes, RequestId id,
                            ExchangeEvents events) {
  busy_ = true;
  skipping_ = false;
  head_reported_ = false;
  skipped_bytes_ = 0;
  read_paused_ = false;
  timer_.cancel();
  id_ = std::move(id);
  events_ = std::move(events);
  parser_.emplace();
  outgoing_ = std::move(bytes);
  writing_ = true;
  write_failed_ = false;
  auto on_written = std::move(events_.on_written);
  asio::async_write(
      socket_, asio::buffer(outgoing_),
      [self = shared_from_this(), on_written = std::move(on_written)](
          error_code error, std::size_t) {
        self->outgoing_ = std::string();
        if (on_written) on_written();
        // The read handles a failure, since a response that arrived before it
        // may still be unread.
        self->writing_ = false;
        self->write_failed_ = static_cast<bool>(error);
      });
  Read();
}

void ServerConnection::SetReadPaused(bool paused) {
  read_paused_ = paused;
  if (!paused) Read();
}

void ServerConnection::Close() {
  if (!open_) return;
  open_ = false;
  busy_ = false;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  events_ = ExchangeEvents();
  const auto handler = std::exchange(idle_handler_, nullptr);
  if (handler) handler(false);
}

void ServerConnection::StartIdleTimer() {
  const auto remaining = idle_until_ - MonotonicNow();
  timer_.expires_after(std::max<Duration>(remaining, Duration(0)));
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->busy_) self->Close();
  });
  Read();
}

void ServerConnection::Read() {
  if (reading_ || read_paused_ || !open_) return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->reading_ = false;
        if (!self->open_) return;
        self->buffer_.commit(size);
        const bool handled =
            HandlePeerInput("response", [&] { self->OnRead(error); });
        if (!handled) self->Fail();
      });
}

void ServerConnection::OnRead(error_code error) {
  // The server closed the idle connection or sent unsolicited bytes.
  if (!busy_) return Close();
  if (!Parse()) return;
  if (!error) return Read();
  // The socket reports a reset only once. If a write got it, reads end as if
  // the server had closed the connection in order.
  const bool ends_with_connection = error == asio::error::eof &&
                                    head_reported_ && parser_->need_eof() &&
                                    !write_failed_;
  if (!ends_with_connection) return Fail();
  error_code parse_error;
  parser_->put_eof(parse_error);
  if (parse_error) return Fail();
  OnComplete(ExchangeEnd::kClosed);
}

bool ServerConnection::Parse() {
  while (buffer_.size() > 0) {
    error_code error;
    const bool had_head = parser_->is_header_done();
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    const bool oversized =
        error == http::error::header_limit ||
        (consumed == 0 && buffer_.size() > kMaxUnparsedBytes);
    if (oversized || (error && error != http::error::need_more)) {
      Fail(oversized ? ExchangeEnd::kOversized : ExchangeEnd::kMalformed);
      return false;
    }
    if (!had_head && parser_->is_header_done() && !OnHead()) return false;
    const std::string body = parser_->TakeBody();
    if (skipping_ && !SkipBytes(consumed)) return false;
    if (!body.empty() && !skipping_) {
      // Copied, since the call may cancel the exchange in the handler.
      const auto handler = events_.on_body;
      handler(body);
      if (!open_ || !busy_) return false;
    }
    if (parser_->is_done()) {
      if (!skipping_) {
        OnComplete(ExchangeEnd::kComplete);
        return false;
      }
      skipping_ = false;
      parser_.emplace();
      continue;
    }
    if (error == http::error::need_more || consumed == 0) return true;
  }
  return true;
}

bool ServerConnection::SkipBytes(std::size_t bytes) {
  skipped_bytes_ += bytes;
  if (skipped_bytes_ <= kMaxSkippedBytes) return true;
  Fail(ExchangeEnd::kOversized);
  return false;
}

bool ServerConnection::OnHead() {
  const HttpResponse& head = parser_->head();
  const ResponseHead facts = protocol_.ReadResponseHead(head);
  const bool is_other_call = !facts.id.empty() && facts.id != id_;
  if (is_other_call || parser_->is_interim()) {
    skipping_ = true;
    return true;
  }
  head_reported_ = true;
  ReadKeepAliveTimeout();
  const auto handler = events_.on_head;
  handler(head, facts);
  return open_ && busy_;
}

void ServerConnection::OnComplete(ExchangeEnd end) {
  const bool reusable = !parser_->need_eof() && parser_->keep_alive() &&
                        buffer_.size() == 0 && !writing_ && !write_failed_;
  ExchangeEvents events = std::move(events_);
  events_ = ExchangeEvents();
  busy_ = false;
  read_paused_ = false;
  if (reusable) {
    idle_since_ = MonotonicNow();
    StartIdleTimer();
    if (idle_handler_) idle_handler_(true);
  } else {
    Close();
  }
  events.on_end(end);
}

void ServerConnection::Fail(ExchangeEnd end) {
  ExchangeEvents events = std::move(events_);
  Close();
  if (events.on_end) events.on_end(end);
}

void ServerConnection::ReadKeepAliveTimeout() {
  std::chrono::milliseconds idle_timeout = kDefaultIdleTimeout;
  for (const HttpField& field : parser_->head().fields) {
    if (!boost::beast::iequals(field.name, "Keep-Alive")) continue;
    // param_list only refers to the text.
    const std::string parameters = ";" + field.value;
    for (const auto& [name, value] : http::param_list(parameters)) {
      if (!boost::beast::iequals(name, "timeout")) continue;
      std::int64_t seconds = 0;
      std::from_chars(value.data(), value.data() + value.size(), seconds);
      idle_timeout = std::chrono::seconds(
          std::clamp<std::int64_t>(seconds, 0, kMaxIdleTimeout.count()));
    }
  }
  idle_until_ =
      MonotonicNow() + std::max(idle_timeout - kIdleMargin, idle_timeout / 2);
}

}  // namespace coltsfootfork

#include "shell/gateway/server_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/socket_options.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// A server that takes longer to accept is passed over; several times the
// longest way between two zones and back.
constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::size_t kReadBytes = 16U << 10U;
// Bytes that the parser has not taken yet: the head of a chunk or the fields
// behind the last one, which have no bound of their own there.
constexpr std::size_t kMaxUnparsedBytes = 96U << 10U;
// Bytes of answers that belong to other calls, or are interim, before one of
// this call: a few answers of a usual size.
constexpr std::size_t kMaxSkippedBytes = 1U << 20U;
// How long a server keeps an idle connection when it does not say.
constexpr std::chrono::milliseconds kDefaultIdle{4000};
// An idle connection is given up so long before the server closes it.
constexpr std::chrono::milliseconds kIdleMargin{500};

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io,
                                   const CallProtocol& protocol)
    : socket_(io), timer_(io), protocol_(protocol) {}

void ServerConnection::Connect(asio::io_context& io,
                               const asio::ip::tcp::endpoint& server,
                               const CallProtocol& protocol,
                               Connected connected) {
  auto self = std::make_shared<ServerConnection>(io, protocol);
  self->timer_.expires_after(kConnectTimeout);
  self->timer_.async_wait([weak = self->weak_from_this()](error_code error) {
    const auto one = weak.lock();
    error_code ignored;
    if (!error && one && !one->open_) one->socket_.close(ignored);
  });
  self->socket_.async_connect(
      server, [self, connected = std::move(connected)](error_code error) {
        self->timer_.cancel();
        if (error || !self->socket_.is_open()) return connected(nullptr);
        self->open_ = true;
        SetLinkOptions(self->socket_);
        self->idle_since_ = MonotonicNow();
        self->idle_until_ = self->idle_since_ + kDefaultIdle;
        connected(self);
      });
}

void ServerConnection::Send(std::string bytes, RequestId id,
                            ExchangeEvents events) {
  busy_ = true;
  skipping_ = false;
  head_told_ = false;
  skipped_bytes_ = 0;
  timer_.cancel();
  id_ = std::move(id);
  events_ = std::move(events);
  parser_.emplace();
  outgoing_ = std::move(bytes);
  writing_ = true;
  asio::async_write(socket_, asio::buffer(outgoing_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      // A failed write shows when reading, where an answer that
                      // came before it may still wait.
                      if (!error) self->writing_ = false;
                    });
  Read();
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

void ServerConnection::StartIdleWatch() {
  const auto left = idle_until_ - MonotonicNow();
  timer_.expires_after(std::max<Duration>(left, Duration(0)));
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->busy_) self->Close();
  });
  Read();
}

void ServerConnection::Read() {
  if (reading_ || !open_) return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->reading_ = false;
        if (!self->open_) return;
        self->buffer_.commit(size);
        self->OnRead(error);
      });
}

void ServerConnection::OnRead(error_code error) {
  // Closed by the server, or bytes that belong to no request.
  if (!busy_) return Close();
  if (!Parse()) return;
  if (!error) return Read();
  const bool ends_with_connection =
      error == asio::error::eof && head_told_ && parser_->need_eof();
  if (!ends_with_connection) return Fail();
  error_code parse_error;
  parser_->put_eof(parse_error);
  if (parse_error) return Fail();
  OnWhole();
}

bool ServerConnection::Parse() {
  while (buffer_.size() > 0) {
    error_code error;
    const bool had_head = parser_->is_header_done();
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    const bool endless = error == http::error::header_limit ||
                         (used == 0 && buffer_.size() > kMaxUnparsedBytes);
    if (endless || (error && error != http::error::need_more)) {
      Fail(endless ? ExchangeEnd::kEndless : ExchangeEnd::kBroken);
      return false;
    }
    if (!had_head && parser_->is_header_done() && !OnHead()) return false;
    const std::string body = parser_->TakeBody();
    if (skipping_ && !Skip(used)) return false;
    if (!body.empty() && !skipping_) {
      // The exchange may be cancelled while its call is told.
      const auto handler = events_.on_body;
      handler(body);
      if (!open_ || !busy_) return false;
    }
    if (parser_->is_done()) {
      if (!skipping_) {
        OnWhole();
        return false;
      }
      skipping_ = false;
      parser_.emplace();
      continue;
    }
    if (error == http::error::need_more || used == 0) return true;
  }
  return true;
}

bool ServerConnection::Skip(std::size_t bytes) {
  skipped_bytes_ += bytes;
  if (skipped_bytes_ <= kMaxSkippedBytes) return true;
  Fail(ExchangeEnd::kEndless);
  return false;
}

bool ServerConnection::OnHead() {
  const HttpResponse& head = parser_->head();
  const ResponseHead facts = protocol_.ReadResponseHead(head);
  // An interim answer is followed by the real one.
  constexpr int kFirstFinalStatus = 200;
  const bool other = !facts.id.empty() && facts.id != id_;
  if (other || head.status < kFirstFinalStatus) {
    skipping_ = true;
    return true;
  }
  head_told_ = true;
  NoteKeepAlive();
  const auto handler = events_.on_head;
  handler(head, facts);
  return open_ && busy_;
}

void ServerConnection::OnWhole() {
  const bool reusable = !parser_->need_eof() && parser_->keep_alive() &&
                        buffer_.size() == 0 && !writing_;
  ExchangeEvents events = std::move(events_);
  events_ = ExchangeEvents();
  busy_ = false;
  if (reusable) {
    idle_since_ = MonotonicNow();
    StartIdleWatch();
    if (idle_handler_) idle_handler_(true);
  } else {
    Close();
  }
  events.on_end(ExchangeEnd::kWhole);
}

void ServerConnection::Fail(ExchangeEnd end) {
  ExchangeEvents events = std::move(events_);
  Close();
  if (events.on_end) events.on_end(end);
}

void ServerConnection::NoteKeepAlive() {
  std::chrono::milliseconds keep = kDefaultIdle;
  for (const HttpField& field : parser_->head().fields) {
    if (!boost::beast::iequals(field.name, "Keep-Alive")) continue;
    for (const auto& [name, value] : http::param_list(";" + field.value)) {
      if (!boost::beast::iequals(name, "timeout")) continue;
      std::int64_t seconds = 0;
      std::from_chars(value.data(), value.data() + value.size(), seconds);
      keep = std::chrono::seconds(seconds);
    }
  }
  idle_until_ = MonotonicNow() + std::max(keep - kIdleMargin, keep / 2);
}

}  // namespace coltsfootfork

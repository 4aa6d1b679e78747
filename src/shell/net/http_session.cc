#include "shell/net/http_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/ip_address.h"
#include "shell/net/message_serializer.h"
#include "shell/net/peer_input.h"
#include "shell/net/socket_progress.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Bytes of pipelined requests to buffer while a response is in progress; the
// session does not read more until the response is complete. One request header
// fits.
constexpr std::size_t kMaxPipelinedBytes = 16U << 10U;
// Bytes of framing, such as a chunk's size with its extension or the trailer
// fields, that may be buffered in addition to a request's head. The parser does
// not limit them by itself.
constexpr std::size_t kMaxFramingBytes = 8U << 10U;
// Interval at which is checked whether a caller reads; a sixth of the time
// after which a connection may be closed for that.
constexpr std::chrono::milliseconds kReaderCheckInterval{250};
// Larger read buffers are released when the connection becomes idle.
constexpr std::size_t kMaxIdleBufferBytes = 4U << 10U;

}  // namespace

HttpSession::HttpSession(HttpServer* server, asio::ip::tcp::socket socket)
    : server_(server),
      connections_(server->connections_),
      stream_(std::move(socket)),
      idle_timer_(stream_.get_executor()),
      held_backlog_(connections_->held_bytes(), HeldBytesPurpose::kDelivery),
      reader_timer_(stream_.get_executor()) {
  error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  server_->sessions_.insert(this);
}

HttpSession::~HttpSession() {
  if (server_ != nullptr) server_->sessions_.erase(this);
  connections_->Remove(connection_id_);
}

void HttpSession::Start() {
  ConnectionHandlers handlers;
  handlers.close = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Close();
  };
  handlers.end_slow_caller = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->ReportSlowCaller(SlowCallerReason::kBudget, /*allowed_bytes=*/0);
    self->HandleDisconnect();
  };
  connection_id_ = connections_->Add(std::move(handlers), MonotonicNow());
  // The table may have closed this connection at once.
  if (state_ != State::kClosed) AwaitRequest();
}

void HttpSession::SetPhase(ConnectionPhase phase) {
  connections_->SetPhase(connection_id_, phase, MonotonicNow());
}

void HttpSession::CloseWhenIdle() {
  keep_alive_ = false;
  // A request that has begun to arrive is read and answered.
  error_code ignored;
  if (idle_ && stream_.socket().available(ignored) == 0) Close();
}

bool HttpSession::UpdateKeepAlive() {
  if (server_ != nullptr && !server_->keep_alive_) keep_alive_ = false;
  return keep_alive_;
}

void HttpSession::AwaitRequest() {
  if (server_ == nullptr) return Close();
  state_ = State::kReading;
  response_complete_ = false;
  SetPhase(ConnectionPhase::kIdle);
  if (buffer_.size() > 0) return Read();
  if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  idle_timer_.expires_after(server_->limits_.idle_timeout);
  idle_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->idle_) self->Close();
  });
  idle_ = true;
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](error_code error) {
                                self->idle_ = false;
                                self->idle_timer_.cancel();
                                if (self->state_ != State::kReading) return;
                                if (error) return self->Close();
                                self->Read();
                              });
}

void HttpSession::Read() {
  if (server_ == nullptr) return Close();
  parser_.emplace(server_->limits_.header_bytes, server_->limits_.body_bytes);
  reading_body_ = false;
  buffer_.max_size(std::max(server_->limits_.header_bytes, kMaxPipelinedBytes) +
                   kMaxFramingBytes);
  SetPhase(ConnectionPhase::kReadingHead);
  // The head is counted as if it had arrived, since the parser does not report
  // its progress.
  connections_->SetReadingBytes(connection_id_, server_->limits_.header_bytes,
                                MonotonicNow());
  if (state_ == State::kClosed) return;
  stream_.expires_after(server_->limits_.header_timeout);
  ReadSome();
}

void HttpSession::ReadSome() {
  http::async_read_some(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        const bool handled =
            HandlePeerInput("request", [&] { self->OnReadSome(error); });
        if (!handled) self->HandleDisconnect();
      });
}

void HttpSession::OnReadSome(error_code error) {
  if (state_ == State::kClosed || server_ == nullptr) return Close();
  if (error) return RespondToBadRequest(error);
  if (parser_->is_done()) return OnRequest();
  if (parser_->is_header_done()) {
    if (!std::exchange(reading_body_, true)) {
      SetPhase(ConnectionPhase::kReadingBody);
      stream_.expires_after(server_->limits_.body_timeout);
    }
    connections_->SetReadingBytes(
        connection_id_, server_->limits_.header_bytes + parser_->body_bytes(),
        MonotonicNow());
    if (state_ == State::kClosed) return;
  }
  ReadSome();
}

void HttpSession::OnRequest() {
  stream_.expires_never();
  SetPhase(ConnectionPhase::kResponding);
  connections_->SetReadingBytes(connection_id_, 0, MonotonicNow());
  state_ = State::kHandling;
  keep_alive_ = keep_alive_ && parser_->keep_alive() && server_->keep_alive_;
  WatchForDisconnect();
  server_->handler_(parser_->TakeRequest(), shared_from_this());
}

void HttpSession::RespondToBadRequest(error_code error) {
  int status = 0;
  if (error == http::error::body_limit) {
    status = 413;
  } else if (error == http::error::header_limit) {
    status = 431;
  } else if (parser_->has_unsupported_coding()) {
    status = 501;
  } else if (error.category() ==
                 make_error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    status = 400;
  }
  if (status == 0) return Close();
  connections_->OnMalformedRequest({status, error.message(), ClientAddress()},
                                   MonotonicNow());
  SetPhase(ConnectionPhase::kResponding);
  connections_->SetReadingBytes(connection_id_, 0, MonotonicNow());
  state_ = State::kHandling;
  keep_alive_ = false;
  Respond({status,
           "application/problem+json",
           {},
           R"({"title":"The request could not be read","reason":"bad_request",)"
           R"("not_run":true})"});
}

void HttpSession::WatchForDisconnect() {
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [weak = weak_from_this()](error_code error) {
                                const auto self = weak.lock();
                                if (!self || error) return;
                                const bool responding =
                                    self->state_ == State::kHandling ||
                                    self->state_ == State::kStreaming;
                                if (!responding || self->response_complete_) {
                                  return;
                                }
                                self->OnReadableWhileResponding();
                              });
}

void HttpSession::OnReadableWhileResponding() {
  error_code error;
  const std::size_t available = stream_.socket().available(error);
  // A readable socket without bytes means that the caller has closed it.
  if (error || available == 0) return HandleDisconnect();
  // The bytes belong to a pipelined request, which is handled after this
  // response. They are read now because a disconnect cannot be detected while
  // unread bytes are in the socket.
  if (buffer_.size() + available > kMaxPipelinedBytes) return;
  const std::size_t read_bytes =
      stream_.socket().read_some(buffer_.prepare(available), error);
  if (error) return HandleDisconnect();
  buffer_.commit(read_bytes);
  WatchForDisconnect();
}

void HttpSession::Respond(HttpResponse response) {
  if (state_ != State::kHandling) return;
  response_complete_ = true;
  Queue(SerializeResponse(response, UpdateKeepAlive()));
}

void HttpSession::StartStream(HttpResponse head) {
  if (state_ != State::kHandling) return;
  state_ = State::kStreaming;
  Queue(SerializeChunkedHead(head, UpdateKeepAlive()));
}

void HttpSession::WriteChunk(std::string_view bytes) {
  if (state_ != State::kStreaming || bytes.empty()) return;
  Queue(boost::beast::buffers_to_string(
      http::make_chunk(asio::buffer(bytes.data(), bytes.size()))));
}

void HttpSession::FinishStream() {
  if (state_ != State::kStreaming) return;
  response_complete_ = true;
  Queue(boost::beast::buffers_to_string(http::make_chunk_last()));
}

void HttpSession::AbortStream() {
  if (state_ != State::kStreaming) return;
  // Without the last chunk the caller's HTTP library reports a truncated body.
  keep_alive_ = false;
  response_complete_ = true;
  if (writes_.empty()) FinishResponse();
}

void HttpSession::OnCallerDisconnected(std::function<void()> handler) {
  disconnect_handler_ = std::move(handler);
}

void HttpSession::Queue(std::string bytes) {
  if (response_complete_) SetPhase(ConnectionPhase::kDelivering);
  if (writes_.empty()) unread_since_ = MonotonicNow();
  SetBacklog(backlog_bytes_ + bytes.size());
  StartReaderCheck();
  writes_.push_back(std::move(bytes));
  if (writes_.size() == 1) WriteNext();
}

void HttpSession::SetBacklog(std::size_t bytes) {
  backlog_bytes_ = bytes;
  held_backlog_.Set(bytes);
  connections_->SetBacklog(connection_id_, bytes, unread_since_);
}

void HttpSession::StartReaderCheck() {
  if (std::exchange(checking_reader_, true)) return;
  reader_timer_.expires_after(kReaderCheckInterval);
  reader_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self) self->CheckReader();
  });
}

void HttpSession::CheckReader() {
  checking_reader_ = false;
  if (state_ == State::kClosed || writes_.empty()) return;
  const Time now = MonotonicNow();
  UpdateUnreadSince(now);
  if (server_ != nullptr &&
      now >= unread_since_ + server_->limits_.write_timeout) {
    ReportSlowCaller(SlowCallerReason::kTimeout,
                     connections_->held_bytes()->AllowedBacklog());
    return HandleDisconnect();
  }
  connections_->SetBacklog(connection_id_, backlog_bytes_, unread_since_);
  connections_->CloseSlowReaders(now);
  if (state_ != State::kClosed) StartReaderCheck();
}

void HttpSession::UpdateUnreadSince(Time now) {
  const auto acknowledged = AcknowledgedBytes(stream_.socket().native_handle());
  // A caller is not taken to be slow without knowing it.
  if (acknowledged == acknowledged_bytes_) return;
  acknowledged_bytes_ = acknowledged.value_or(0);
  unread_since_ = now;
}

void HttpSession::ReportSlowCaller(SlowCallerReason reason,
                                   std::size_t allowed_bytes) {
  is_slow_caller_ = true;
  const Time now = MonotonicNow();
  connections_->OnSlowCallerEnded({reason, ClientAddress(), backlog_bytes_,
                                   allowed_bytes, now - unread_since_},
                                  now);
}

std::string HttpSession::ClientAddress() const {
  error_code error;
  const auto client = stream_.socket().remote_endpoint(error);
  return error ? std::string() : FormatEndpoint(client);
}

void HttpSession::EndSlowCaller(std::size_t allowed_bytes) {
  if (state_ == State::kClosed) return;
  UpdateUnreadSince(MonotonicNow());
  ReportSlowCaller(SlowCallerReason::kBacklog, allowed_bytes);
  Close();
}

void HttpSession::WriteNext() {
  // CheckReader ends the connection of a caller that does not read.
  stream_.expires_never();
  asio::async_write(stream_, asio::buffer(writes_.front()),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void HttpSession::OnWritten(error_code error) {
  if (state_ == State::kClosed) return writes_.clear();
  SetBacklog(backlog_bytes_ - writes_.front().size());
  writes_.pop_front();
  if (error) return HandleDisconnect();
  if (!writes_.empty()) {
    WriteNext();
  } else {
    if (response_complete_) return FinishResponse();
  }
  // Copied, since the handler may replace itself.
  const auto handler = backlog_handler_;
  if (handler) handler();
}

void HttpSession::FinishResponse() {
  disconnect_handler_ = nullptr;
  backlog_handler_ = nullptr;
  error_code ignored;
  stream_.socket().cancel(ignored);
  if (!keep_alive_) return Close();
  AwaitRequest();
}

void HttpSession::HandleDisconnect() {
  std::function<void()> handler = std::move(disconnect_handler_);
  disconnect_handler_ = nullptr;
  Close();
  if (handler) handler();
}

void HttpSession::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  connections_->Remove(connection_id_);
  backlog_handler_ = nullptr;
  // The write in progress uses the first element until it is cancelled.
  if (!writes_.empty()) writes_.erase(writes_.begin() + 1, writes_.end());
  SetBacklog(0);
  idle_timer_.cancel();
  reader_timer_.cancel();
  error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream_.close();
}

}  // namespace coltsfootfork

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "coltsfootfork/core/overload/held_bytes_budget.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/net/connection_table.h"
#include "shell/net/http_server.h"
#include "shell/net/message_parser.h"

namespace coltsfootfork {

// One connection of an HttpServer, which is also the HttpExchange of its
// current request. The next request is parsed only after the response to the
// current one has been written.
class HttpSession : public HttpExchange,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(HttpServer* server, boost::asio::ip::tcp::socket socket);
  ~HttpSession() override;

  void Start();
  // Closes the connection now if no request has begun to arrive, otherwise
  // after the response.
  void CloseWhenIdle();
  // Called by the destructor of the server, which must not be used afterwards.
  void Detach() { server_ = nullptr; }

  void Respond(HttpResponse response) override;
  void StartStream(HttpResponse head) override;
  void WriteChunk(std::string_view bytes) override;
  void FinishStream() override;
  void AbortStream() override;
  void EndSlowCaller(std::size_t allowed_bytes) override;
  bool is_slow_caller() const override { return is_slow_caller_; }
  std::size_t backlog_bytes() const override { return backlog_bytes_; }
  void OnBacklogShrunk(std::function<void()> handler) override {
    backlog_handler_ = std::move(handler);
  }
  void OnCallerDisconnected(std::function<void()> handler) override;

 private:
  enum class State { kReading, kHandling, kStreaming, kClosed };

  // Waits for the first byte of a request before a read buffer is allocated, so
  // that idle connections use no buffer memory.
  void AwaitRequest();
  void Read();
  void ReadSome();
  void OnReadSome(boost::system::error_code error);
  void OnRequest();
  // Reports what the connection is doing to the table of connections.
  void SetPhase(ConnectionPhase phase);
  void RespondToBadRequest(boost::system::error_code error);
  void WatchForDisconnect();
  void OnReadableWhileResponding();
  void Queue(std::string bytes);
  void SetBacklog(std::size_t bytes);
  // Checks from time to time whether the caller reads, while bytes wait for it.
  void StartReaderCheck();
  void CheckReader();
  void UpdateUnreadSince(Time now);
  // Logs that the caller reads too slowly, before the connection is closed.
  void ReportSlowCaller(SlowCallerReason reason, std::size_t allowed_bytes);
  // Returns IP:PORT, or an empty text if it is not known any more.
  std::string ClientAddress() const;
  void WriteNext();
  void OnWritten(boost::system::error_code error);
  void FinishResponse();
  // Returns whether the connection stays open after the response that is about
  // to be written, after applying the server's setting.
  bool UpdateKeepAlive();
  void HandleDisconnect();
  void Close();

  HttpServer* server_;
  std::shared_ptr<ConnectionTable> connections_;
  ConnectionTable::ConnectionId connection_id_ = 0;
  boost::beast::tcp_stream stream_;
  boost::asio::steady_timer idle_timer_;
  bool idle_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<RequestParser> parser_;
  bool reading_body_ = false;
  State state_ = State::kReading;
  bool keep_alive_ = true;
  bool response_complete_ = false;
  std::deque<std::string> writes_;
  std::size_t backlog_bytes_ = 0;
  // The backlog's share of the process's budget.
  HeldBytes held_backlog_;
  boost::asio::steady_timer reader_timer_;
  bool checking_reader_ = false;
  // Since when the caller has read nothing of the backlog, and the bytes that
  // it had acknowledged then.
  Time unread_since_;
  std::uint64_t acknowledged_bytes_ = 0;
  bool is_slow_caller_ = false;
  std::function<void()> backlog_handler_;
  std::function<void()> disconnect_handler_;
};

}  // namespace coltsfootfork

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// One connection of an HttpServer. It is the exchange of the request that it
// is answering: the next one is read only when that answer is written.
class HttpSession : public HttpExchange,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(HttpServer* server, boost::asio::ip::tcp::socket socket);
  ~HttpSession() override;

  void Start();
  // Closes the connection when it is idle, else after the answer.
  void CloseWhenIdle();
  // The server is going away: nothing of it is touched any more.
  void Detach() { server_ = nullptr; }

  void Respond(HttpResponse response) override;
  void StartStream(HttpResponse head) override;
  void WriteChunk(std::string_view bytes) override;
  void FinishStream() override;
  void AbortStream() override;
  std::size_t backlog_bytes() const override { return backlog_bytes_; }
  void OnCallerDisconnected(std::function<void()> handler) override;

 private:
  enum class State { kReading, kHandling, kStreaming, kClosed };

  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Waits for the first byte of a request: an idle connection holds no buffer.
  void AwaitRequest();
  void Read();
  void OnRead(boost::system::error_code error);
  void RespondToBadRequest(boost::system::error_code error);
  void WatchForDisconnect();
  void OnReadableWhileResponding();
  void Queue(std::string bytes);
  void WriteNext();
  void OnWritten(boost::system::error_code error);
  void FinishResponse();
  // Settles whether the connection outlives the answer that now begins.
  bool UpdateKeepAlive();
  void HandleDisconnect();
  void Close();

  HttpServer* server_;
  boost::beast::tcp_stream stream_;
  boost::asio::steady_timer idle_timer_;
  bool idle_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  State state_ = State::kReading;
  bool keep_alive_ = true;
  bool response_complete_ = false;
  std::deque<std::string> writes_;
  std::size_t backlog_bytes_ = 0;
  std::function<void()> disconnect_handler_;
};

}  // namespace coltsfootfork

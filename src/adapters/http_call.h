#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "shell/net/message_parser.h"

namespace coltsfootfork {

using HttpCallRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

enum class HttpCallResult {
  // The complete response was received, delimited by its content length, by the
  // last chunk or by the end of the connection.
  kComplete,
  // The connection could not be established, so nothing was sent.
  kConnectFailed,
  // The connection failed or timed out, the response was malformed, or a
  // handler
  // aborted the call.
  kInterrupted,
};

struct HttpCallHandlers {
  std::function<void(const HttpResponse&)> on_head;
  // Returning false aborts the call with kInterrupted.
  std::function<bool(std::string_view)> on_body;
  std::function<void(HttpCallResult)> on_end;
};

struct HttpCallLimits {
  std::chrono::milliseconds connect_timeout{0};
  // Maximum time without data transfer.
  std::chrono::milliseconds idle_timeout{0};
};

// One HTTP call over a new connection. The response is passed on while it is
// received. The object keeps itself alive until the call has ended or is
// closed.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(boost::asio::io_context& io, HttpCallRequest request,
           HttpCallLimits limits, HttpCallHandlers handlers);

  void Start(const boost::asio::ip::tcp::endpoint& server);
  // Closes the connection. No handler is called any more.
  void Close();

 private:
  void Write();
  // Reads the next response, interim or final.
  void ReadResponse();
  void Read();
  void OnRead(boost::system::error_code error);
  // Passes on what was parsed. Returns false if a handler has ended the call.
  bool ReportProgress();
  void Finish(HttpCallResult end);

  boost::beast::tcp_stream stream_;
  // More than a head. Limits the framing between the parts of a body, which
  // the parser does not limit by itself.
  static constexpr std::size_t kMaxBufferBytes = 64U << 10U;

  boost::beast::flat_buffer buffer_{kMaxBufferBytes};
  HttpCallRequest request_;
  HttpCallLimits limits_;
  HttpCallHandlers handlers_;
  std::optional<ResponseParser> parser_;
  bool head_reported_ = false;
  // Close() only sets this flag and keeps the handlers until the pending
  // operation ends, because a handler may call Close().
  bool closed_ = false;
};

}  // namespace coltsfootfork

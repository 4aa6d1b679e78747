#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "adapters/sink_body.h"

namespace coltsfootfork {

using HttpCallRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseHead = boost::beast::http::response_header<>;

enum class HttpCallResult {
  // The whole answer came, by content length or closing.
  kComplete,
  // No connection was made, so nothing was sent.
  kConnectFailed,
  // The connection broke, went silent or carried something unreadable.
  kInterrupted,
};

struct HttpCallHandlers {
  std::function<void(const HttpResponseHead&)> on_head;
  // False gives the call up as broken.
  std::function<bool(std::string_view)> on_body;
  std::function<void(HttpCallResult)> on_end;
};

struct HttpCallLimits {
  std::chrono::milliseconds connect_timeout{0};
  // The longest time without a byte.
  std::chrono::milliseconds idle_timeout{0};
};

// One HTTP call over a connection of its own, read as it comes. It keeps
// itself alive until it has ended or was closed.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(boost::asio::io_context& io, HttpCallRequest request,
           HttpCallLimits limits, HttpCallHandlers handlers);

  void Start(const boost::asio::ip::tcp::endpoint& server);
  // Ends the call without a further word to its handlers.
  void Close();

 private:
  void Write();
  void ReadHead();
  void ReadBody();
  void Finish(HttpCallResult end);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  HttpCallRequest request_;
  HttpCallLimits limits_;
  HttpCallHandlers handlers_;
  boost::beast::http::response_parser<SinkBody> parser_;
  // The handlers stay until the pending operation ends: one of them may be
  // what closes the call.
  bool closed_ = false;
};

}  // namespace coltsfootfork

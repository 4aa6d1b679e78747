#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// The response to one HTTP request, or the error.
struct HttpFetchResult {
  // Empty when no complete response was received.
  std::optional<HttpResponse> response;
  std::string problem;
  // True if the connection failed, so that no byte of the request can have
  // reached the server.
  bool never_sent = false;
};

// Sends one request over a new connection and passes the complete response, or
// the error, to the callback. The timeout covers the whole exchange.
void HttpFetch(boost::asio::io_context& io,
               const boost::asio::ip::tcp::endpoint& server,
               const HttpRequest& request, std::chrono::milliseconds timeout,
               std::function<void(HttpFetchResult)> done);

}  // namespace coltsfootfork

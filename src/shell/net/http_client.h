#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// The answer to one HTTP request, or what went wrong.
struct HttpFetchResult {
  // Nothing when no whole answer came.
  std::optional<HttpResponse> response;
  std::string problem;
  // Not one byte of the request can have reached the server.
  bool never_sent = false;
};

// Sends one request over a connection of its own and hands the whole answer
// to the callback, within the timeout.
void HttpFetch(boost::asio::io_context& io,
               const boost::asio::ip::tcp::endpoint& server,
               const HttpRequest& request, std::chrono::milliseconds timeout,
               std::function<void(HttpFetchResult)> done);

}  // namespace coltsfootfork

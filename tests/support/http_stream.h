#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// A caller that reads a stream of events as they come.
class HttpStream {
 public:
  // Sends the request at once.
  HttpStream(const std::string& address, const HttpRequest& request);

  // Waits for the answer's header.
  int Status();
  // The data of the next event; nothing at the end of the stream.
  std::optional<std::string> NextEvent();
  // Whether the answer has ended as HTTP says it should.
  bool ended() const { return parser_.is_done(); }
  // Closes the connection as a caller that has lost interest.
  void Abandon();

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  std::size_t taken_ = 0;
};

}  // namespace coltsfootfork

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace coltsfootfork {

// What a server sends that never ends: first some bytes, then others again and
// again until the other side closes.
struct EndlessResponse {
  std::string initial;
  std::string repeated;
  // Between two sends; zero sends as fast as the other side reads.
  std::chrono::milliseconds interval{0};
};

// A server whose answers have no end.
class EndlessServer {
 public:
  // Gets the request's text.
  using Script = std::function<EndlessResponse(const std::string& request)>;

  EndlessServer(boost::asio::io_context& io, Script script);

  std::string address() const;
  int connections() const { return connections_; }
  // Connections that the other side has closed.
  int closed() const { return closed_; }
  std::size_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void Write(const std::shared_ptr<Connection>& connection);

  boost::asio::ip::tcp::acceptor acceptor_;
  Script script_;
  int connections_ = 0;
  int closed_ = 0;
  std::size_t bytes_sent_ = 0;
};

}  // namespace coltsfootfork

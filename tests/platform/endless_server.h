#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace coltsfootfork {

// A response that never ends: the initial bytes, then the repeated bytes until
// the peer closes the connection.
struct EndlessResponse {
  std::string initial;
  std::string repeated;
  // Time between two writes; zero writes as fast as the peer reads.
  std::chrono::milliseconds interval{0};
};

// A server whose responses never end.
class EndlessServer {
 public:
  // Receives the text of the request.
  using Script = std::function<EndlessResponse(const std::string& request)>;

  EndlessServer(boost::asio::io_context& io, Script script);

  std::string address() const;
  int connections() const { return connections_; }
  // Connections that the peer has closed.
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

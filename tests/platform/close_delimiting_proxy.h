#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace coltsfootfork {

// A proxy in front of a server that forwards its responses with neither a
// length nor chunks, so that the connection's close ends them. A response that
// breaks off is thus closed in order as well.
class CloseDelimitingProxy {
 public:
  CloseDelimitingProxy(boost::asio::io_context& io, std::string server);

  // IP:PORT.
  std::string address() const;
  // Sets bytes to send after a response that has broken off.
  void SetLastBytes(std::string bytes) { last_bytes_ = std::move(bytes); }
  // Delays the close of a response that has broken off.
  void SetCloseDelay(std::chrono::milliseconds delay) { close_delay_ = delay; }

 private:
  struct Relay;

  void Accept();
  void ReadRequest(const std::shared_ptr<Relay>& relay);
  void ReadResponse(const std::shared_ptr<Relay>& relay);
  // Forwards what has been parsed. Returns false if the response is complete.
  static bool ForwardResponse(Relay& relay);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string server_;
  std::string last_bytes_;
  std::chrono::milliseconds close_delay_{0};
};

}  // namespace coltsfootfork

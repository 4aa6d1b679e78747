#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "shell/net/ip_address.h"

namespace coltsfootfork::platform {

// A loopback address for processes that must know each other's address before
// they start. Acceptors can be bound to it, one after the other; meanwhile the
// kernel gives its port to no other socket.
class ReservedAddress {
 public:
  ReservedAddress() : socket_(io_) {
    using boost::asio::ip::tcp;
    socket_.open(tcp::v4());
    // An acceptor shares the port of a socket that does not listen.
    socket_.set_option(tcp::acceptor::reuse_address(true));
    socket_.bind(ParseEndpoint("127.0.0.1:0").value());
  }

  std::string text() const { return FormatEndpoint(socket_.local_endpoint()); }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor socket_;
};

}  // namespace coltsfootfork::platform

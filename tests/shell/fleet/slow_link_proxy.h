#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootfork {

// Forwards TCP connections to `target`, and limits the bytes from the target to
// the client as a slow link does: with small buffers and at a fixed rate.
class SlowLinkProxy {
 public:
  SlowLinkProxy(boost::asio::io_context& io, const std::string& target,
                std::size_t bytes_per_second);
  SlowLinkProxy(const SlowLinkProxy&) = delete;
  SlowLinkProxy& operator=(const SlowLinkProxy&) = delete;

  // IP:PORT at which the proxy accepts connections.
  std::string address() const;
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& io)
        : client(io), target(io), timer(io) {}

    boost::asio::ip::tcp::socket client;
    boost::asio::ip::tcp::socket target;
    boost::asio::steady_timer timer;
    std::array<char, 4096> upstream_bytes{};
    std::vector<char> downstream_bytes;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  void ForwardUpstream(const ConnectionPtr& connection);
  void ForwardDownstream(const ConnectionPtr& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint target_;
  std::size_t bytes_per_round_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<ConnectionPtr> connections_;
};

}  // namespace coltsfootfork

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfootfork {

// What a link tells its owner. Each is called from the process's one loop.
struct LinkEvents {
  // The WebSocket handshake is over: frames may be sent.
  std::function<void()> on_open;
  std::function<void(std::string_view frame)> on_frame;
  // The link is gone. Called once, also when it never opened.
  std::function<void()> on_closed;
};

// One WebSocket connection between two processes of the system. Frames arrive
// whole and in order, or the link closes.
class LinkConnection {
 public:
  virtual ~LinkConnection() = default;

  // Queues a frame. Ignored once the link is closed.
  virtual void Send(std::string_view frame) = 0;
  // Sends what is queued, then closes. on_closed is not called any more.
  virtual void Close() = 0;
  // Bytes queued and not yet taken by the kernel.
  virtual std::size_t backlog_bytes() const = 0;
};

// Speaks the accepting side on a socket that the kernel has connected.
std::shared_ptr<LinkConnection> AcceptLink(boost::asio::ip::tcp::socket socket,
                                           LinkEvents events);

// Connects to a listening process. A failure is told by on_closed.
std::shared_ptr<LinkConnection> OpenLink(
    boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& peer,
    LinkEvents events);

}  // namespace coltsfootfork

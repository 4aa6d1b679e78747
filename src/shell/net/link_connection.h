#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Callbacks of a link to its owner. All run on the event loop of the process.
struct LinkEvents {
  // The WebSocket handshake is complete and frames may be sent.
  std::function<void()> on_open;
  std::function<void(std::string_view frame)> on_frame;
  // The link has closed. Called once, also if the link never opened.
  std::function<void()> on_closed;
};

// One WebSocket connection between two processes of the system. Frames arrive
// complete and in order; on any error the link closes.
class LinkConnection {
 public:
  virtual ~LinkConnection() = default;

  // Queues a frame. Does nothing if the link is not open.
  virtual void Send(std::string_view frame) = 0;
  // Closes the link after sending the queued frames. on_closed is not called.
  virtual void Close() = 0;
  // Bytes that are queued and not yet written to the socket.
  virtual std::size_t backlog_bytes() const = 0;
};

// Runs the server side of the WebSocket handshake on an accepted socket.
std::shared_ptr<LinkConnection> AcceptLink(boost::asio::ip::tcp::socket socket,
                                           LinkEvents events);

// Connects to a listening process. Failures are reported through on_closed.
std::shared_ptr<LinkConnection> OpenLink(
    boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& peer,
    LinkEvents events);

}  // namespace coltsfootfork

#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

enum class FramePriority : std::uint8_t {
  kNormal = 0,
  // May be sent in parts, between which other frames overtake it. The order of
  // bulk frames is undefined.
  kBulk,
};

// A TCP connection between two processes of a fleet that carries
// length-prefixed frames. Frames of normal priority arrive in the order in
// which they were sent. Used in place of a WebSocket; docs/design/platform.md
// compares the cost of both.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  struct Events {
    std::function<void()> on_connected;
    std::function<void(std::string frame)> on_frame;
    // Called once, also if the connection attempt fails; not after Close.
    std::function<void()> on_disconnected;
  };

  static std::shared_ptr<FrameLink> Connect(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& address, Events events);
  static std::shared_ptr<FrameLink> Accept(boost::asio::io_context& io,
                                           boost::asio::ip::tcp::socket socket,
                                           Events events);

  FrameLink(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
            Events events);

  // Drops the frame if the link is not connected, since senders repeat
  // important messages. Disconnects a peer that does not read.
  void Send(const std::string& frame,
            FramePriority priority = FramePriority::kNormal);
  // The peer can reassemble frames that are sent in parts. Until this is known,
  // bulk frames are sent whole.
  void AllowParts() { parts_allowed_ = true; }
  void Close();

  bool is_connected() const { return connected_; }
  // When the last frame or part of one was received, or the link was connected.
  Time last_received() const { return last_received_; }
  // Bytes received of a frame that is not complete yet.
  std::size_t incomplete_bytes() const { return incomplete_bytes_; }

 private:
  void OnConnected();
  void Disconnect();
  void ReadLength();
  void ReadFrame(std::size_t size, bool is_part, bool is_last);
  void OnFrame(std::string frame);
  void OnPart(const std::string& part, bool is_last);
  void WriteNext();
  // Moves the next part of the first bulk frame to `outgoing_`.
  void TakeBulkPart();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Events events_;
  std::array<unsigned char, 4> length_{};
  std::string incoming_;
  // Received parts of a bulk frame.
  std::string incoming_parts_;
  std::size_t incomplete_bytes_ = 0;
  // Frames and parts with their headers; the first one is being written.
  std::deque<std::string> outgoing_;
  std::deque<std::string> outgoing_bulk_;
  // Bytes of the first bulk frame that were moved to `outgoing_`.
  std::size_t bulk_offset_ = 0;
  std::size_t outgoing_bytes_ = 0;
  bool parts_allowed_ = false;
  bool connected_ = false;
  bool closed_ = false;
  Time last_received_;
};

}  // namespace coltsfootfork

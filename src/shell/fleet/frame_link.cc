#include "shell/fleet/frame_link.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/peer_input.h"
#include "shell/net/socket_options.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::milliseconds kConnectTimeout{600};
// Larger than the largest plan that an operator may submit and than a chunk of
// a snapshot.
constexpr std::size_t kMaxFrameBytes = 16U << 20U;
constexpr std::size_t kMaxOutgoingBytes = 24U << 20U;
constexpr unsigned kBitsPerByte = 8;

// The upper bits of a header; the others are the length.
constexpr std::uint32_t kPartBit = 1U << 31U;
constexpr std::uint32_t kLastPartBit = 1U << 30U;
constexpr std::uint32_t kLengthMask = kLastPartBit - 1;

// A part occupies a link of 10 Mbit/s for 13 ms.
constexpr std::size_t kPartBytes = 16U << 10U;

std::string AddHeader(std::string_view bytes, std::uint32_t bits) {
  const std::uint32_t header = static_cast<std::uint32_t>(bytes.size()) | bits;
  std::string message;
  message.reserve(bytes.size() + sizeof(header));
  for (unsigned shift = 4 * kBitsPerByte; shift > 0; shift -= kBitsPerByte) {
    message += static_cast<char>(header >> (shift - kBitsPerByte));
  }
  message += bytes;
  return message;
}

}  // namespace

FrameLink::FrameLink(asio::io_context& io, asio::ip::tcp::socket socket,
                     Events events)
    : socket_(std::move(socket)), timer_(io), events_(std::move(events)) {}

std::shared_ptr<FrameLink> FrameLink::Connect(
    asio::io_context& io, const asio::ip::tcp::endpoint& address,
    Events events) {
  auto self = std::make_shared<FrameLink>(io, asio::ip::tcp::socket(io),
                                          std::move(events));
  self->timer_.expires_after(kConnectTimeout);
  self->timer_.async_wait([weak = self->weak_from_this()](error_code error) {
    const auto link = weak.lock();
    if (!error && link && !link->connected_) link->Disconnect();
  });
  self->socket_.async_connect(address, [self](error_code error) {
    if (self->closed_) return;
    if (error) return self->Disconnect();
    self->OnConnected();
  });
  return self;
}

std::shared_ptr<FrameLink> FrameLink::Accept(asio::io_context& io,
                                             asio::ip::tcp::socket socket,
                                             Events events) {
  auto self =
      std::make_shared<FrameLink>(io, std::move(socket), std::move(events));
  self->OnConnected();
  return self;
}

void FrameLink::Send(const std::string& frame, FramePriority priority) {
  if (!connected_) return;
  outgoing_bytes_ += frame.size();
  if (outgoing_bytes_ > kMaxOutgoingBytes) {
    // Deferred, since the caller may be iterating over a table of links.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (!self->closed_) self->Disconnect();
    });
    return;
  }
  const bool is_idle = outgoing_.empty();
  if (priority == FramePriority::kBulk && parts_allowed_ &&
      frame.size() > kPartBytes) {
    outgoing_bulk_.push_back(frame);
    if (is_idle) TakeBulkPart();
  } else {
    outgoing_.push_back(AddHeader(frame, 0));
  }
  if (is_idle) WriteNext();
}

void FrameLink::Close() {
  if (closed_) return;
  closed_ = true;
  connected_ = false;
  events_ = Events();
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void FrameLink::OnConnected() {
  timer_.cancel();
  connected_ = true;
  last_received_ = MonotonicNow();
  SetLinkOptions(socket_);
  LimitUnsentBytes(socket_);
  if (events_.on_connected) events_.on_connected();
  if (!closed_) ReadLength();
}

void FrameLink::Disconnect() {
  const auto handler = events_.on_disconnected;
  Close();
  if (handler) handler();
}

void FrameLink::ReadLength() {
  asio::async_read(socket_, asio::buffer(length_),
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (self->closed_) return;
                     if (error) return self->Disconnect();
                     std::uint32_t header = 0;
                     for (const unsigned char byte : self->length_) {
                       header = (header << kBitsPerByte) + byte;
                     }
                     const bool is_part = (header & kPartBit) != 0;
                     const bool is_last = (header & kLastPartBit) != 0;
                     const std::size_t size = header & kLengthMask;
                     if (size > kMaxFrameBytes) return self->Disconnect();
                     self->ReadFrame(size, is_part, is_last);
                   });
}

void FrameLink::ReadFrame(std::size_t size, bool is_part, bool is_last) {
  incoming_.resize(size);
  const auto count_bytes = [self = shared_from_this()](error_code error,
                                                       std::size_t received) {
    self->incomplete_bytes_ = self->incoming_parts_.size() + received;
    return asio::transfer_all()(error, received);
  };
  asio::async_read(socket_, asio::buffer(incoming_), count_bytes,
                   [self = shared_from_this(), is_part, is_last](
                       error_code error, std::size_t) {
                     if (self->closed_) return;
                     if (error) return self->Disconnect();
                     self->last_received_ = MonotonicNow();
                     std::string frame = std::exchange(self->incoming_, {});
                     const bool handled = HandlePeerInput("frame", [&] {
                       if (is_part) {
                         self->OnPart(frame, is_last);
                       } else {
                         self->OnFrame(std::move(frame));
                       }
                     });
                     if (!handled && !self->closed_) self->Disconnect();
                     self->incomplete_bytes_ = self->incoming_parts_.size();
                     if (!self->closed_) self->ReadLength();
                   });
}

void FrameLink::OnFrame(std::string frame) {
  const auto handler = events_.on_frame;
  handler(std::move(frame));
}

void FrameLink::OnPart(const std::string& part, bool is_last) {
  if (incoming_parts_.size() + part.size() > kMaxFrameBytes) {
    return Disconnect();
  }
  incoming_parts_ += part;
  if (is_last) OnFrame(std::exchange(incoming_parts_, {}));
}

void FrameLink::TakeBulkPart() {
  const std::string_view frame = outgoing_bulk_.front();
  const std::string_view part = frame.substr(bulk_offset_, kPartBytes);
  bulk_offset_ += part.size();
  const bool is_last = bulk_offset_ == frame.size();
  outgoing_.push_back(AddHeader(part, kPartBit | (is_last ? kLastPartBit : 0)));
  if (!is_last) return;
  outgoing_bulk_.pop_front();
  bulk_offset_ = 0;
}

void FrameLink::WriteNext() {
  asio::async_write(
      socket_, asio::buffer(outgoing_.front()),
      [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_) return;
        if (error) return self->Disconnect();
        self->outgoing_bytes_ -=
            self->outgoing_.front().size() - sizeof(std::uint32_t);
        self->outgoing_.pop_front();
        if (self->outgoing_.empty() && !self->outgoing_bulk_.empty()) {
          self->TakeBulkPart();
        }
        if (!self->outgoing_.empty()) self->WriteNext();
      });
}

}  // namespace coltsfootfork

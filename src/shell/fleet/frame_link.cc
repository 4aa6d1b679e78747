#include "shell/fleet/frame_link.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "shell/clock/monotonic_now.h"
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

std::string AddLengthPrefix(const std::string& frame) {
  std::string bytes;
  bytes.reserve(frame.size() + sizeof(std::uint32_t));
  for (unsigned shift = 4 * kBitsPerByte; shift > 0; shift -= kBitsPerByte) {
    bytes += static_cast<char>(frame.size() >> (shift - kBitsPerByte));
  }
  bytes += frame;
  return bytes;
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

void FrameLink::Send(const std::string& frame) {
  if (!connected_) return;
  outgoing_bytes_ += frame.size();
  if (outgoing_bytes_ > kMaxOutgoingBytes) {
    // Deferred, since the caller may be iterating over a table of links.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (!self->closed_) self->Disconnect();
    });
    return;
  }
  outgoing_.push_back(AddLengthPrefix(frame));
  if (outgoing_.size() == 1) WriteNext();
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
                     std::size_t size = 0;
                     for (const unsigned char byte : self->length_) {
                       size = (size << kBitsPerByte) + byte;
                     }
                     if (size > kMaxFrameBytes) return self->Disconnect();
                     self->ReadFrame(size);
                   });
}

void FrameLink::ReadFrame(std::size_t size) {
  incoming_.resize(size);
  const auto count_bytes = [self = shared_from_this()](error_code error,
                                                       std::size_t received) {
    self->incomplete_bytes_ = received;
    return asio::transfer_all()(error, received);
  };
  asio::async_read(socket_, asio::buffer(incoming_), count_bytes,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     self->incomplete_bytes_ = 0;
                     if (self->closed_) return;
                     if (error) return self->Disconnect();
                     self->last_received_ = MonotonicNow();
                     const auto handler = self->events_.on_frame;
                     handler(std::exchange(self->incoming_, {}));
                     if (!self->closed_) self->ReadLength();
                   });
}

void FrameLink::WriteNext() {
  asio::async_write(socket_, asio::buffer(outgoing_.front()),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->closed_) return;
                      if (error) return self->Disconnect();
                      self->outgoing_bytes_ -= self->outgoing_.front().size() -
                                               sizeof(std::uint32_t);
                      self->outgoing_.pop_front();
                      if (!self->outgoing_.empty()) self->WriteNext();
                    });
}

}  // namespace coltsfootfork

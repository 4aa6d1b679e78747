#include "shell/net/peer_link.h"

#include <chrono>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::chrono::seconds kHandshakeTimeout{5};
// Maximum frame size before authentication. Larger frames are rejected without
// decoding them.
constexpr std::size_t kMaxHandshakeFrameBytes = 512;

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& io, LinkSide side,
                   const PeerIdentity& identity, PeerEvents events)
    : handshake_(side, identity.process, identity.fleet_key, MakeNonce()),
      events_(std::move(events)),
      timeout_(io) {}

std::shared_ptr<PeerLink> PeerLink::Accept(boost::asio::io_context& io,
                                           boost::asio::ip::tcp::socket socket,
                                           const PeerIdentity& identity,
                                           PeerEvents events) {
  auto link = std::make_shared<PeerLink>(io, LinkSide::kAccepting, identity,
                                         std::move(events));
  link->StartTimeout();
  link->connection_ = AcceptLink(std::move(socket), link->MakeLinkEvents());
  return link;
}

std::shared_ptr<PeerLink> PeerLink::Connect(
    boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
    const PeerIdentity& identity, PeerEvents events) {
  auto link = std::make_shared<PeerLink>(io, LinkSide::kConnecting, identity,
                                         std::move(events));
  link->StartTimeout();
  link->connection_ = OpenLink(io, address, link->MakeLinkEvents());
  return link;
}

LinkEvents PeerLink::MakeLinkEvents() {
  // Weak, because only the owner may keep the link alive, not the connection.
  const std::weak_ptr<PeerLink> weak = weak_from_this();
  LinkEvents events;
  events.on_open = [weak] {
    const auto self = weak.lock();
    if (!self || !self->connection_) return;
    self->connection_->Send(EncodeEnvelope({0, self->handshake_.Hello()}));
  };
  events.on_frame = [weak](std::string_view frame) {
    if (const auto self = weak.lock()) self->OnFrame(frame);
  };
  events.on_closed = [weak] {
    if (const auto self = weak.lock()) {
      self->Terminate(LinkCloseReason::kClosed);
    }
  };
  return events;
}

void PeerLink::StartTimeout() {
  timeout_.expires_after(kHandshakeTimeout);
  timeout_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->up_) return;
        self->Terminate(LinkCloseReason::kClosed);
      });
}

void PeerLink::Send(const Envelope& envelope) {
  if (up_) connection_->Send(EncodeEnvelope(envelope));
}

void PeerLink::Close() {
  events_ = {};
  Terminate(LinkCloseReason::kClosed);
}

void PeerLink::OnFrame(std::string_view frame) {
  if (!up_ && frame.size() > kMaxHandshakeFrameBytes) {
    return Terminate(LinkCloseReason::kAuthenticationFailed);
  }
  DecodedEnvelope decoded = DecodeEnvelope(frame);
  // Messages of an unknown kind come from a newer peer and are skipped. An
  // unknown envelope version closes the link.
  if (decoded.error == EnvelopeError::kUnknownKind) return;
  if (decoded.error == EnvelopeError::kUnknownVersion) {
    return Terminate(LinkCloseReason::kUnknownVersion);
  }
  if (!decoded.envelope) return Terminate(LinkCloseReason::kMalformedFrame);
  if (!up_) return OnHandshakeFrame(*decoded.envelope);
  if (events_.on_envelope) events_.on_envelope(std::move(*decoded.envelope));
}

void PeerLink::OnHandshakeFrame(const Envelope& envelope) {
  if (const auto* hello = std::get_if<LinkHello>(&envelope.payload)) {
    if (proof_sent_) return Terminate(LinkCloseReason::kAuthenticationFailed);
    proof_sent_ = true;
    connection_->Send(EncodeEnvelope({0, handshake_.Prove(*hello)}));
    return;
  }
  const auto* proof = std::get_if<LinkProof>(&envelope.payload);
  if (proof == nullptr || !handshake_.Verify(*proof)) {
    return Terminate(LinkCloseReason::kAuthenticationFailed);
  }
  up_ = true;
  timeout_.cancel();
  if (events_.on_up) events_.on_up(handshake_.peer());
}

void PeerLink::Terminate(LinkCloseReason reason) {
  const auto self = shared_from_this();
  up_ = false;
  timeout_.cancel();
  if (connection_) connection_->Close();
  const std::function<void(LinkCloseReason)> on_down =
      std::move(events_.on_down);
  events_ = {};
  if (on_down) on_down(reason);
}

}  // namespace coltsfootfork

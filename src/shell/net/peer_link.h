#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coltsfootfork/core/types/ids.h"
#include "shell/net/fleet_handshake.h"
#include "shell/net/link_connection.h"
#include "wire/envelope.h"

namespace coltsfootfork {

// Why a link was closed, for logs and counters.
enum class LinkCloseReason {
  kClosed,
  kAuthenticationFailed,
  kMalformedFrame,
  kUnknownVersion
};

// Callbacks of an authenticated link to its owner.
struct PeerEvents {
  // The peer has proved that it knows the fleet key.
  std::function<void(const ProcessId& peer)> on_up;
  std::function<void(Envelope envelope)> on_envelope;
  // Called once, also if the link never came up.
  std::function<void(LinkCloseReason reason)> on_down;
};

// The identity and key that this process uses to authenticate to its peers.
struct PeerIdentity {
  ProcessId process;
  std::string fleet_key;
};

// An authenticated link between two processes of the fleet that carries
// envelopes. Before the peer is authenticated, only hello and proof are sent or
// accepted.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  static std::shared_ptr<PeerLink> Accept(boost::asio::io_context& io,
                                          boost::asio::ip::tcp::socket socket,
                                          const PeerIdentity& identity,
                                          PeerEvents events);
  static std::shared_ptr<PeerLink> Connect(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& address,
      const PeerIdentity& identity, PeerEvents events);

  // Does nothing while the link is not up.
  void Send(const Envelope& envelope);
  // Closes the link. on_down is not called.
  void Close();
  bool up() const { return up_; }
  const ProcessId& peer() const { return handshake_.peer(); }
  // After Close() and the destruction of this object, the pointer expires once
  // the last frame has been sent.
  std::weak_ptr<LinkConnection> connection() const { return connection_; }

  PeerLink(boost::asio::io_context& io, LinkSide side,
           const PeerIdentity& identity, PeerEvents events);

 private:
  LinkEvents MakeLinkEvents();
  void StartTimeout();
  void OnFrame(std::string_view frame);
  void OnHandshakeFrame(const Envelope& envelope);
  void Terminate(LinkCloseReason reason);

  FleetHandshake handshake_;
  PeerEvents events_;
  boost::asio::steady_timer timeout_;
  std::shared_ptr<LinkConnection> connection_;
  bool proof_sent_ = false;
  bool up_ = false;
};

}  // namespace coltsfootfork

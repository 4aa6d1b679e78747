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

// Why a link ended, for logs and counters.
enum class LinkCloseReason {
  kClosed,
  kAuthenticationFailed,
  kMalformedFrame,
  kUnknownVersion
};

// What a proven link tells its owner.
struct PeerEvents {
  // The peer has shown that it belongs to the fleet.
  std::function<void(const ProcessId& peer)> on_up;
  std::function<void(Envelope envelope)> on_envelope;
  // Called once, also when the link never came up.
  std::function<void(LinkCloseReason reason)> on_down;
};

// Who this process is towards its peers.
struct PeerIdentity {
  ProcessId process;
  std::string fleet_key;
};

// A link between two processes of the fleet that carries envelopes. Nothing
// but hello and proof passes before both sides have proved themselves.
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

  // Ignored while the link is not up.
  void Send(const Envelope& envelope);
  // Closes the link. on_down is not called any more.
  void Close();
  bool up() const { return up_; }
  const ProcessId& peer() const { return handshake_.peer(); }
  // To see when a closed link has sent its last frame.
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

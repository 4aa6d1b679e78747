#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "shell/net/peer_link.h"
#include "wire/envelope.h"

namespace coltsfootfork {

// The direction in which a link was opened, as seen from this process.
enum class LinkDirection { kOutgoing, kIncoming };

// Callbacks from the link manager to the process.
struct PeerLinkCallbacks {
  std::function<void(const ProcessId& peer, LinkDirection direction)> on_up;
  std::function<void(const ProcessId& peer, LinkDirection direction)> on_down;
  std::function<void(const ProcessId& peer, LinkDirection direction,
                     Payload payload)>
      on_payload;
  // Called with the sender's highest revision, which each frame carries.
  std::function<void(Revision revision)> on_revision;
  // Returns the revision to send with outgoing frames.
  std::function<Revision()> revision;
};

// Manages all links of a process to its peers. Lost outgoing links are reopened
// with exponential back-off.
class PeerLinkManager {
 public:
  // Starts listening; throws boost::system::system_error on failure.
  PeerLinkManager(boost::asio::io_context& io, PeerIdentity identity,
                  const boost::asio::ip::tcp::endpoint& listen,
                  PeerLinkCallbacks events);

  PeerLinkManager(const PeerLinkManager&) = delete;
  PeerLinkManager& operator=(const PeerLinkManager&) = delete;

  boost::asio::ip::tcp::endpoint local_endpoint() const;

  // Opens a link to the peer and reopens it when it is lost. If the address has
  // changed, the old link is closed first.
  void KeepConnected(const ProcessId& peer, const std::string& address);
  // Closes the outgoing link to the peer without calling on_down.
  void Disconnect(const ProcessId& peer);

  // Sends over the peer's link of the given direction. Returns false if the
  // link is not up.
  bool Send(const ProcessId& peer, LinkDirection direction, Payload payload);

  // Sends over every link of the given direction that is up.
  void SendToAll(LinkDirection direction, const Payload& payload);

  // Stops listening and closes every link after its queued frames are sent.
  void Stop();
  // After Stop, returns true once every link is closed.
  bool Flushed() const;

 private:
  struct Outgoing {
    std::string address;
    std::shared_ptr<PeerLink> link;
    boost::asio::steady_timer retry_timer;
    std::chrono::milliseconds retry_delay;
    // Distinguishes late events of an old link from those of its successor.
    std::uint64_t attempt = 0;
  };

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void OnIncomingUp(std::uint64_t number, const ProcessId& peer);
  void OnIncomingDown(std::uint64_t number, LinkCloseReason reason);
  void Open(const ProcessId& peer);
  void OnOutgoingUp(const ProcessId& peer, std::uint64_t attempt,
                    const ProcessId& authenticated_peer);
  void OnOutgoingDown(const ProcessId& peer, std::uint64_t attempt,
                      LinkCloseReason reason);
  void OnEnvelope(const ProcessId& peer, LinkDirection direction,
                  Envelope envelope);

  boost::asio::io_context& io_;
  PeerIdentity identity_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  PeerLinkCallbacks events_;
  std::map<ProcessId, Outgoing> outgoing_;
  // Accepted links by number, and the number of each peer's newest
  // authenticated link.
  std::map<std::uint64_t, std::shared_ptr<PeerLink>> accepted_;
  std::map<ProcessId, std::uint64_t> incoming_;
  // Connections closed by Stop that may still be sending.
  std::vector<std::weak_ptr<LinkConnection>> closing_;
  std::uint64_t next_number_ = 1;
  bool stopping_ = false;
};

}  // namespace coltsfootfork

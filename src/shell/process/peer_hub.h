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

// Who opened a link.
enum class LinkDirection { kOutgoing, kIncoming };

// What the hub tells the process.
struct PeerHubEvents {
  std::function<void(const ProcessId& peer, LinkDirection direction)> on_up;
  std::function<void(const ProcessId& peer, LinkDirection direction)> on_down;
  std::function<void(const ProcessId& peer, LinkDirection direction,
                     Payload payload)>
      on_payload;
  // The revision that rode on a frame.
  std::function<void(Revision revision)> on_revision;
  // The revision to put on outgoing frames.
  std::function<Revision()> revision;
};

// All links of a process to its peers. Outgoing links are kept up: a lost one
// is opened again, with growing pauses.
class PeerHub {
 public:
  // Listens at once; throws boost::system::system_error when it cannot.
  PeerHub(boost::asio::io_context& io, PeerIdentity identity,
          const boost::asio::ip::tcp::endpoint& listen, PeerHubEvents events);

  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  boost::asio::ip::tcp::endpoint local_endpoint() const;

  // Keeps a link to the peer. A changed address closes the old link first.
  void Keep(const ProcessId& peer, const std::string& address);
  // Gives up the link to the peer, without an on_down.
  void Drop(const ProcessId& peer);

  // Sends over the link of that direction. False when it is not up.
  bool Send(const ProcessId& peer, LinkDirection direction, Payload payload);

  // Sends over every link of that direction that is up.
  void SendToAll(LinkDirection direction, const Payload& payload);

  // Stops listening and closes every link once what is queued has left.
  void Stop();
  // After Stop: whether every link is closed.
  bool Flushed() const;

 private:
  struct Outgoing {
    std::string address;
    std::shared_ptr<PeerLink> link;
    boost::asio::steady_timer retry;
    std::chrono::milliseconds pause;
    // Tells an old link's late events from those of its successor.
    std::uint64_t attempt = 0;
  };

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void OnIncomingUp(std::uint64_t number, const ProcessId& peer);
  void OnIncomingDown(std::uint64_t number, LinkCloseReason end);
  void Open(const ProcessId& peer);
  void OnOutgoingUp(const ProcessId& peer, std::uint64_t attempt,
                    const ProcessId& proved);
  void OnOutgoingDown(const ProcessId& peer, std::uint64_t attempt,
                      LinkCloseReason end);
  void OnEnvelope(const ProcessId& peer, LinkDirection direction,
                  Envelope envelope);

  boost::asio::io_context& io_;
  PeerIdentity identity_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  PeerHubEvents events_;
  std::map<ProcessId, Outgoing> outgoing_;
  // Accepted links by number, and the newest proven one of each peer.
  std::map<std::uint64_t, std::shared_ptr<PeerLink>> accepted_;
  std::map<ProcessId, std::uint64_t> incoming_;
  // Connections that a stop has closed and that still write.
  std::vector<std::weak_ptr<LinkConnection>> closing_;
  std::uint64_t next_number_ = 1;
  bool stopping_ = false;
};

}  // namespace coltsfootfork

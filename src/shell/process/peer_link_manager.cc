#include "shell/process/peer_link_manager.h"

#include <algorithm>
#include <utility>

#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds kMinRetryDelay{100};
constexpr std::chrono::milliseconds kMaxRetryDelay{2000};
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

std::string_view LinkCloseReasonName(LinkCloseReason reason) {
  switch (reason) {
    case LinkCloseReason::kClosed:
      return "closed";
    case LinkCloseReason::kAuthenticationFailed:
      return "not_of_the_fleet";
    case LinkCloseReason::kMalformedFrame:
      return "damaged_frame";
    case LinkCloseReason::kUnknownVersion:
      return "unknown_version";
  }
  return "unknown";
}

void LogLinkClosed(const ProcessId& peer, LinkCloseReason reason) {
  if (reason == LinkCloseReason::kClosed) {
    Log(LogLevel::kInfo, Event::kLinkDown, {{"peer", peer.value()}});
    return;
  }
  Log(LogLevel::kWarning, Event::kLinkRefused,
      {{"peer", peer.value()},
       {"reason", std::string(LinkCloseReasonName(reason))}});
}

}  // namespace

PeerLinkManager::PeerLinkManager(boost::asio::io_context& io,
                                 PeerIdentity identity,
                                 const boost::asio::ip::tcp::endpoint& listen,
                                 PeerLinkCallbacks events)
    : io_(io),
      identity_(std::move(identity)),
      acceptor_(io, listen, /*reuse_addr=*/true),
      accept_retry_timer_(io),
      events_(std::move(events)) {
  Accept();
}

boost::asio::ip::tcp::endpoint PeerLinkManager::local_endpoint() const {
  return acceptor_.local_endpoint();
}

void PeerLinkManager::KeepConnected(const ProcessId& peer,
                                    const std::string& address) {
  const auto found = outgoing_.find(peer);
  if (found != outgoing_.end() && found->second.address == address) return;
  Disconnect(peer);
  outgoing_.emplace(peer,
                    Outgoing{address, nullptr, boost::asio::steady_timer(io_),
                             kMinRetryDelay, 0});
  Open(peer);
}

void PeerLinkManager::Disconnect(const ProcessId& peer) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end()) return;
  if (found->second.link) found->second.link->Close();
  outgoing_.erase(found);
}

bool PeerLinkManager::Send(const ProcessId& peer, LinkDirection direction,
                           Payload payload) {
  std::shared_ptr<PeerLink> link;
  if (direction == LinkDirection::kOutgoing) {
    const auto found = outgoing_.find(peer);
    if (found != outgoing_.end()) link = found->second.link;
  } else {
    const auto found = incoming_.find(peer);
    if (found != incoming_.end()) link = accepted_.at(found->second);
  }
  if (!link || !link->up()) return false;
  link->Send({events_.revision(), std::move(payload)});
  return true;
}

void PeerLinkManager::SendToAll(LinkDirection direction,
                                const Payload& payload) {
  if (direction == LinkDirection::kIncoming) {
    for (const auto& [peer, number] : incoming_) Send(peer, direction, payload);
    return;
  }
  for (const auto& [peer, outgoing] : outgoing_) {
    Send(peer, direction, payload);
  }
}

void PeerLinkManager::Stop() {
  stopping_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  const auto close = [this](PeerLink& link) {
    closing_.push_back(link.connection());
    link.Close();
  };
  for (auto& [peer, outgoing] : outgoing_) {
    if (outgoing.link) close(*outgoing.link);
  }
  outgoing_.clear();
  for (auto& [number, link] : accepted_) close(*link);
  accepted_.clear();
  incoming_.clear();
}

bool PeerLinkManager::Flushed() const {
  return std::all_of(
      closing_.begin(), closing_.end(),
      [](const std::weak_ptr<LinkConnection>& link) { return link.expired(); });
}

void PeerLinkManager::Accept() {
  acceptor_.async_accept(
      [this](error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || stopping_) return;
        if (!error) {
          OnAccepted(std::move(socket));
          return Accept();
        }
        // An immediate retry would spin, for example when file descriptors are
        // exhausted.
        accept_retry_timer_.expires_after(kAcceptRetryDelay);
        accept_retry_timer_.async_wait([this](error_code wait_error) {
          if (!wait_error) Accept();
        });
      });
}

void PeerLinkManager::OnAccepted(boost::asio::ip::tcp::socket socket) {
  const std::uint64_t number = next_number_++;
  PeerEvents events;
  events.on_up = [this, number](const ProcessId& peer) {
    OnIncomingUp(number, peer);
  };
  events.on_envelope = [this, number](Envelope envelope) {
    OnEnvelope(accepted_.at(number)->peer(), LinkDirection::kIncoming,
               std::move(envelope));
  };
  events.on_down = [this, number](LinkCloseReason reason) {
    OnIncomingDown(number, reason);
  };
  accepted_[number] =
      PeerLink::Accept(io_, std::move(socket), identity_, std::move(events));
}

void PeerLinkManager::OnIncomingUp(std::uint64_t number,
                                   const ProcessId& peer) {
  const auto old = incoming_.find(peer);
  if (old != incoming_.end()) {
    // The peer reconnected before the loss of its old link was detected.
    const std::uint64_t old_number = old->second;
    accepted_.at(old_number)->Close();
    accepted_.erase(old_number);
    incoming_.erase(old);
    events_.on_down(peer, LinkDirection::kIncoming);
  }
  incoming_[peer] = number;
  Log(LogLevel::kInfo, Event::kLinkUp,
      {{"peer", peer.value()}, {"direction", "incoming"}});
  events_.on_up(peer, LinkDirection::kIncoming);
}

void PeerLinkManager::OnIncomingDown(std::uint64_t number,
                                     LinkCloseReason reason) {
  const auto found = accepted_.find(number);
  if (found == accepted_.end()) return;
  const std::shared_ptr<PeerLink> link = std::move(found->second);
  accepted_.erase(found);
  const ProcessId peer = link->peer();
  LogLinkClosed(peer, reason);
  const auto current = incoming_.find(peer);
  if (current == incoming_.end() || current->second != number) return;
  incoming_.erase(current);
  events_.on_down(peer, LinkDirection::kIncoming);
}

void PeerLinkManager::Open(const ProcessId& peer) {
  Outgoing& outgoing = outgoing_.at(peer);
  const auto address = ParseEndpoint(outgoing.address);
  if (!address) return;
  const std::uint64_t attempt = next_number_++;
  outgoing.attempt = attempt;
  PeerEvents events;
  events.on_up = [this, peer, attempt](const ProcessId& authenticated_peer) {
    OnOutgoingUp(peer, attempt, authenticated_peer);
  };
  events.on_envelope = [this, peer](Envelope envelope) {
    OnEnvelope(peer, LinkDirection::kOutgoing, std::move(envelope));
  };
  events.on_down = [this, peer, attempt](LinkCloseReason reason) {
    OnOutgoingDown(peer, attempt, reason);
  };
  outgoing.link =
      PeerLink::Connect(io_, *address, identity_, std::move(events));
}

void PeerLinkManager::OnOutgoingUp(const ProcessId& peer, std::uint64_t attempt,
                                   const ProcessId& authenticated_peer) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end() || found->second.attempt != attempt) return;
  if (authenticated_peer != peer) {
    // Another process now uses the address.
    found->second.link->Close();
    return OnOutgoingDown(peer, attempt,
                          LinkCloseReason::kAuthenticationFailed);
  }
  found->second.retry_delay = kMinRetryDelay;
  Log(LogLevel::kInfo, Event::kLinkUp,
      {{"peer", peer.value()}, {"direction", "outgoing"}});
  events_.on_up(peer, LinkDirection::kOutgoing);
}

void PeerLinkManager::OnOutgoingDown(const ProcessId& peer,
                                     std::uint64_t attempt,
                                     LinkCloseReason reason) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end() || found->second.attempt != attempt) return;
  Outgoing& outgoing = found->second;
  const std::chrono::milliseconds retry_delay = outgoing.retry_delay;
  outgoing.retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
  outgoing.link = nullptr;
  outgoing.retry_timer.expires_after(retry_delay);
  outgoing.retry_timer.async_wait([this, peer](error_code error) {
    if (!error) Open(peer);
  });
  if (reason != LinkCloseReason::kClosed || retry_delay == kMinRetryDelay) {
    LogLinkClosed(peer, reason);
  }
  events_.on_down(peer, LinkDirection::kOutgoing);
}

void PeerLinkManager::OnEnvelope(const ProcessId& peer, LinkDirection direction,
                                 Envelope envelope) {
  if (envelope.revision > 0) events_.on_revision(envelope.revision);
  events_.on_payload(peer, direction, std::move(envelope.payload));
}

}  // namespace coltsfootfork

#include "shell/process/peer_hub.h"

#include <algorithm>
#include <utility>

#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds kFirstPause{100};
constexpr std::chrono::milliseconds kLongestPause{2000};
constexpr std::chrono::milliseconds kAcceptPause{100};

std::string_view LinkEndName(LinkCloseReason end) {
  switch (end) {
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

void LogLinkEnd(const ProcessId& peer, LinkCloseReason end) {
  if (end == LinkCloseReason::kClosed) {
    Log(LogLevel::kInfo, Event::kLinkDown, {{"peer", peer.value()}});
    return;
  }
  Log(LogLevel::kWarning, Event::kLinkRefused,
      {{"peer", peer.value()}, {"reason", std::string(LinkEndName(end))}});
}

}  // namespace

PeerHub::PeerHub(boost::asio::io_context& io, PeerIdentity identity,
                 const boost::asio::ip::tcp::endpoint& listen,
                 PeerHubEvents events)
    : io_(io),
      identity_(std::move(identity)),
      acceptor_(io, listen, /*reuse_addr=*/true),
      accept_pause_(io),
      events_(std::move(events)) {
  Accept();
}

boost::asio::ip::tcp::endpoint PeerHub::local_endpoint() const {
  return acceptor_.local_endpoint();
}

void PeerHub::Keep(const ProcessId& peer, const std::string& address) {
  const auto found = outgoing_.find(peer);
  if (found != outgoing_.end() && found->second.address == address) return;
  Drop(peer);
  outgoing_.emplace(peer,
                    Outgoing{address, nullptr, boost::asio::steady_timer(io_),
                             kFirstPause, 0});
  Open(peer);
}

void PeerHub::Drop(const ProcessId& peer) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end()) return;
  if (found->second.link) found->second.link->Close();
  outgoing_.erase(found);
}

bool PeerHub::Send(const ProcessId& peer, LinkDirection direction,
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

void PeerHub::SendToAll(LinkDirection direction, const Payload& payload) {
  if (direction == LinkDirection::kIncoming) {
    for (const auto& [peer, number] : incoming_) Send(peer, direction, payload);
    return;
  }
  for (const auto& [peer, outgoing] : outgoing_) {
    Send(peer, direction, payload);
  }
}

void PeerHub::Stop() {
  stopping_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_pause_.cancel();
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

bool PeerHub::Flushed() const {
  return std::all_of(
      closing_.begin(), closing_.end(),
      [](const std::weak_ptr<LinkConnection>& link) { return link.expired(); });
}

void PeerHub::Accept() {
  acceptor_.async_accept(
      [this](error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || stopping_) return;
        if (!error) {
          OnAccepted(std::move(socket));
          return Accept();
        }
        // Out of descriptors, say: an immediate retry would spin.
        accept_pause_.expires_after(kAcceptPause);
        accept_pause_.async_wait([this](error_code wait_error) {
          if (!wait_error) Accept();
        });
      });
}

void PeerHub::OnAccepted(boost::asio::ip::tcp::socket socket) {
  const std::uint64_t number = next_number_++;
  PeerEvents events;
  events.on_up = [this, number](const ProcessId& peer) {
    OnIncomingUp(number, peer);
  };
  events.on_envelope = [this, number](Envelope envelope) {
    OnEnvelope(accepted_.at(number)->peer(), LinkDirection::kIncoming,
               std::move(envelope));
  };
  events.on_down = [this, number](LinkCloseReason end) {
    OnIncomingDown(number, end);
  };
  accepted_[number] =
      PeerLink::Accept(io_, std::move(socket), identity_, std::move(events));
}

void PeerHub::OnIncomingUp(std::uint64_t number, const ProcessId& peer) {
  const auto old = incoming_.find(peer);
  if (old != incoming_.end()) {
    // The peer came back before its old link was seen to break.
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

void PeerHub::OnIncomingDown(std::uint64_t number, LinkCloseReason end) {
  const auto found = accepted_.find(number);
  if (found == accepted_.end()) return;
  const std::shared_ptr<PeerLink> link = std::move(found->second);
  accepted_.erase(found);
  const ProcessId peer = link->peer();
  LogLinkEnd(peer, end);
  const auto current = incoming_.find(peer);
  if (current == incoming_.end() || current->second != number) return;
  incoming_.erase(current);
  events_.on_down(peer, LinkDirection::kIncoming);
}

void PeerHub::Open(const ProcessId& peer) {
  Outgoing& outgoing = outgoing_.at(peer);
  const auto address = ParseEndpoint(outgoing.address);
  if (!address) return;
  const std::uint64_t attempt = next_number_++;
  outgoing.attempt = attempt;
  PeerEvents events;
  events.on_up = [this, peer, attempt](const ProcessId& proved) {
    OnOutgoingUp(peer, attempt, proved);
  };
  events.on_envelope = [this, peer](Envelope envelope) {
    OnEnvelope(peer, LinkDirection::kOutgoing, std::move(envelope));
  };
  events.on_down = [this, peer, attempt](LinkCloseReason end) {
    OnOutgoingDown(peer, attempt, end);
  };
  outgoing.link =
      PeerLink::Connect(io_, *address, identity_, std::move(events));
}

void PeerHub::OnOutgoingUp(const ProcessId& peer, std::uint64_t attempt,
                           const ProcessId& proved) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end() || found->second.attempt != attempt) return;
  if (proved != peer) {
    // Another process has taken the address over.
    found->second.link->Close();
    return OnOutgoingDown(peer, attempt,
                          LinkCloseReason::kAuthenticationFailed);
  }
  found->second.pause = kFirstPause;
  Log(LogLevel::kInfo, Event::kLinkUp,
      {{"peer", peer.value()}, {"direction", "outgoing"}});
  events_.on_up(peer, LinkDirection::kOutgoing);
}

void PeerHub::OnOutgoingDown(const ProcessId& peer, std::uint64_t attempt,
                             LinkCloseReason end) {
  const auto found = outgoing_.find(peer);
  if (found == outgoing_.end() || found->second.attempt != attempt) return;
  Outgoing& outgoing = found->second;
  const std::chrono::milliseconds pause = outgoing.pause;
  outgoing.pause = std::min(2 * pause, kLongestPause);
  outgoing.link = nullptr;
  outgoing.retry.expires_after(pause);
  outgoing.retry.async_wait([this, peer](error_code error) {
    if (!error) Open(peer);
  });
  if (end != LinkCloseReason::kClosed || pause == kFirstPause) {
    LogLinkEnd(peer, end);
  }
  events_.on_down(peer, LinkDirection::kOutgoing);
}

void PeerHub::OnEnvelope(const ProcessId& peer, LinkDirection direction,
                         Envelope envelope) {
  if (envelope.revision > 0) events_.on_revision(envelope.revision);
  events_.on_payload(peer, direction, std::move(envelope.payload));
}

}  // namespace coltsfootfork

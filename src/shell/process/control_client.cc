#include "shell/process/control_client.h"

#include <utility>

#include "coltsfootfork/core/control_state/control_codec.h"

namespace coltsfootfork {
namespace {

// If a replica does not reply within this time, the client switches to the next
// one.
constexpr std::chrono::milliseconds kReplyTimeout{700};
// Delay before a retry after a reply from a replica that is not the acting
// leader.
constexpr std::chrono::milliseconds kRedirectDelay{60};

}  // namespace

ControlClient::ControlClient(PeerLinkManager& peer_links,
                             std::vector<ControlSeed> seeds)
    : peer_links_(peer_links), seeds_(std::move(seeds)) {
  if (!seeds_.empty()) SelectSeed(seeds_.front().process);
}

void ControlClient::Call(const ControlRequest& request,
                         std::chrono::milliseconds timeout, ReplyCallback done,
                         Time now) {
  const std::uint64_t number = next_call_++;
  PendingCall call{EncodeControlRequest(request), now + timeout, now, false,
                   std::move(done)};
  Send(number, call, now);
  calls_.emplace(number, std::move(call));
}

void ControlClient::OnReplyFrame(const ControlReplyFrame& frame, Time now) {
  const auto found = calls_.find(frame.call);
  if (found == calls_.end()) return;
  if (!frame.acting) {
    if (frame.leader.empty()) {
      SwitchToNextSeed();
    } else {
      SelectSeed(frame.leader);
    }
    found->second.next_send = now + kRedirectDelay;
    found->second.sent = false;
    return;
  }
  std::optional<ControlReply> reply = DecodeControlReply(frame.reply);
  if (!reply) return;
  const ReplyCallback done = std::move(found->second.done);
  calls_.erase(found);
  done(std::move(reply));
}

void ControlClient::OnLinkUp(const ProcessId& peer, Time now) {
  if (seeds_.empty() || peer != seeds_.at(current_seed_).process) return;
  for (auto& [number, call] : calls_) Send(number, call, now);
}

void ControlClient::OnLinkDown(const ProcessId& peer) {
  if (!seeds_.empty() && peer == seeds_.at(current_seed_).process) {
    SwitchToNextSeed();
  }
}

void ControlClient::Tick(Time now) {
  std::vector<ReplyCallback> expired;
  bool reply_overdue = false;
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (now >= it->second.deadline) {
      expired.push_back(std::move(it->second.done));
      it = calls_.erase(it);
      continue;
    }
    reply_overdue =
        reply_overdue || (it->second.sent && now >= it->second.next_send);
    ++it;
  }
  if (reply_overdue) SwitchToNextSeed();
  for (auto& [number, call] : calls_) {
    if (now >= call.next_send) Send(number, call, now);
  }
  for (const ReplyCallback& done : expired) done(std::nullopt);
}

void ControlClient::Send(std::uint64_t number, PendingCall& call, Time now) {
  call.next_send = now + kReplyTimeout;
  if (seeds_.empty()) return;
  call.sent = true;
  peer_links_.Send(seeds_.at(current_seed_).process, LinkDirection::kOutgoing,
                   ControlRequestFrame{number, call.request});
}

void ControlClient::SwitchToNextSeed() {
  if (seeds_.size() < 2) return;
  SelectSeed(seeds_.at((current_seed_ + 1) % seeds_.size()).process);
}

void ControlClient::SelectSeed(const ProcessId& process) {
  for (std::size_t i = 0; i < seeds_.size(); ++i) {
    if (seeds_[i].process != process) continue;
    current_seed_ = i;
    peer_links_.KeepConnected(process, seeds_[i].address);
    return;
  }
}

}  // namespace coltsfootfork

#include "shell/process/control_client.h"

#include <utility>

#include "coltsfootfork/core/control_state/control_codec.h"

namespace coltsfootfork {
namespace {

// A replica that does not answer for this long is passed over for the next.
constexpr std::chrono::milliseconds kAnswerTimeout{700};
// The pause after an answer from a replica that does not act.
constexpr std::chrono::milliseconds kNotActingPause{60};

}  // namespace

ControlClient::ControlClient(PeerHub& hub, std::vector<ControlSeed> seeds)
    : hub_(hub), seeds_(std::move(seeds)) {
  if (!seeds_.empty()) Target(seeds_.front().process);
}

void ControlClient::Call(const ControlRequest& request,
                         std::chrono::milliseconds timeout, Done done,
                         Time now) {
  const std::uint64_t number = next_call_++;
  PendingCall call{EncodeControlRequest(request), now + timeout, now, false,
                   std::move(done)};
  Send(number, call, now);
  calls_.emplace(number, std::move(call));
}

void ControlClient::OnAnswer(const ControlReplyFrame& answer, Time now) {
  const auto found = calls_.find(answer.call);
  if (found == calls_.end()) return;
  if (!answer.acting) {
    if (answer.leader.empty()) {
      TryNextSeed();
    } else {
      Target(answer.leader);
    }
    found->second.send_again = now + kNotActingPause;
    found->second.sent = false;
    return;
  }
  std::optional<ControlReply> reply = DecodeControlReply(answer.reply);
  if (!reply) return;
  const Done done = std::move(found->second.done);
  calls_.erase(found);
  done(std::move(reply));
}

void ControlClient::OnLinkUp(const ProcessId& peer, Time now) {
  if (seeds_.empty() || peer != seeds_.at(target_).process) return;
  for (auto& [number, call] : calls_) Send(number, call, now);
}

void ControlClient::OnLinkDown(const ProcessId& peer) {
  if (!seeds_.empty() && peer == seeds_.at(target_).process) TryNextSeed();
}

void ControlClient::Tick(Time now) {
  std::vector<Done> expired;
  bool silent = false;
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (now >= it->second.deadline) {
      expired.push_back(std::move(it->second.done));
      it = calls_.erase(it);
      continue;
    }
    silent = silent || (it->second.sent && now >= it->second.send_again);
    ++it;
  }
  if (silent) TryNextSeed();
  for (auto& [number, call] : calls_) {
    if (now >= call.send_again) Send(number, call, now);
  }
  for (const Done& done : expired) done(std::nullopt);
}

void ControlClient::Send(std::uint64_t number, PendingCall& call, Time now) {
  call.send_again = now + kAnswerTimeout;
  if (seeds_.empty()) return;
  call.sent = true;
  hub_.Send(seeds_.at(target_).process, LinkDirection::kOutgoing,
            ControlRequestFrame{number, call.request});
}

void ControlClient::TryNextSeed() {
  if (seeds_.size() < 2) return;
  Target(seeds_.at((target_ + 1) % seeds_.size()).process);
}

void ControlClient::Target(const ProcessId& process) {
  for (std::size_t i = 0; i < seeds_.size(); ++i) {
    if (seeds_[i].process != process) continue;
    target_ = i;
    hub_.Keep(process, seeds_[i].address);
    return;
  }
}

}  // namespace coltsfootfork

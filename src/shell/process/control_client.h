#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/process/peer_link_manager.h"

namespace coltsfootfork {

// The address at which a control replica listens for peers.
struct ControlSeed {
  ProcessId process;
  std::string address;
};

// Sends requests to the control leader: keeps a link to one replica, follows
// its redirects to the leader, and retries requests without a reply. Requests
// are idempotent, so retries are safe.
class ControlClient {
 public:
  // Called once, with nullopt if no reply arrives before the deadline.
  using ReplyCallback = std::function<void(std::optional<ControlReply> reply)>;

  ControlClient(PeerLinkManager& peer_links, std::vector<ControlSeed> seeds);

  void Call(const ControlRequest& request, std::chrono::milliseconds timeout,
            ReplyCallback done, Time now);
  // Handles a reply from any replica or peer.
  void OnReplyFrame(const ControlReplyFrame& frame, Time now);
  void OnLinkUp(const ProcessId& peer, Time now);
  void OnLinkDown(const ProcessId& peer);
  // Retries calls that are due and completes calls that are past their
  // deadline.
  void Tick(Time now);

 private:
  struct PendingCall {
    std::string request;
    Time deadline;
    Time next_send;
    // True while a reply from the current seed is outstanding.
    bool sent = false;
    ReplyCallback done;
  };

  void Send(std::uint64_t number, PendingCall& call, Time now);
  void SwitchToNextSeed();
  void SelectSeed(const ProcessId& process);

  PeerLinkManager& peer_links_;
  std::vector<ControlSeed> seeds_;
  std::size_t current_seed_ = 0;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
};

}  // namespace coltsfootfork

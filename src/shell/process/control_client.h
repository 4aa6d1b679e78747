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
#include "shell/process/peer_hub.h"

namespace coltsfootfork {

// Where a control replica listens for its peers.
struct ControlSeed {
  ProcessId process;
  std::string address;
};

// Takes requests to the control leader: keeps a link to one replica, follows
// its hint to the leader, and sends again what is not answered. Requests are
// idempotent, so sending again is safe.
class ControlClient {
 public:
  // Called once; without a reply when the deadline passed first.
  using Done = std::function<void(std::optional<ControlReply> reply)>;

  ControlClient(PeerHub& hub, std::vector<ControlSeed> seeds);

  void Call(const ControlRequest& request, std::chrono::milliseconds timeout,
            Done done, Time now);
  // An answer from any replica or peer.
  void OnAnswer(const ControlReplyFrame& answer, Time now);
  void OnLinkUp(const ProcessId& peer, Time now);
  void OnLinkDown(const ProcessId& peer);
  // Sends again what is due and ends what is past its deadline.
  void Tick(Time now);

 private:
  struct PendingCall {
    std::string request;
    Time deadline;
    Time send_again;
    // Sent to the target, which has not answered yet.
    bool sent = false;
    Done done;
  };

  void Send(std::uint64_t number, PendingCall& call, Time now);
  void TryNextSeed();
  void Target(const ProcessId& process);

  PeerHub& hub_;
  std::vector<ControlSeed> seeds_;
  std::size_t target_ = 0;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
};

}  // namespace coltsfootfork

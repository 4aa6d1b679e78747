#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "coltsfootfork/core/control_state/control_command.h"
#include "coltsfootfork/core/control_state/control_state.h"
#include "coltsfootfork/core/control_state/lease_table.h"
#include "coltsfootfork/core/control_state/limit_splitter.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What replication knows of the leadership at the time of a request.
struct LeaderView {
  // This replica leads, its leader lease holds, and it has applied an entry
  // of its own term, so that what it has applied is current.
  bool holds_lease = false;
  // The leader as far as known.
  ProcessId leader;
  std::uint64_t term = 0;
  // The members of the group.
  std::vector<ReplicaStatus> replicas;
};

// A reply to send now, or a command to propose to the log; the reply to the
// request is then what ControlState::Apply returns for it.
using ReplyOrCommand = std::variant<ControlReply, ControlCommand>;

// Answers control requests on a replica. Reads and leases are answered at
// once, writes need the log. It checks changes before they are proposed, and
// turns documents into patches, so that the log stays small.
class ControlService {
 public:
  // The state must outlive the service.
  explicit ControlService(const ControlState& state, LeaseLimits limits = {})
      : state_(state), leases_(limits), splitter_(limits.lease) {}

  // The wall clock is the time since 1970.
  ReplyOrCommand Handle(const ControlRequest& request, const LeaderView& view,
                        std::chrono::milliseconds wall_clock, Time now);

  // To be called a few times in a lease period.
  void Tick(const LeaderView& view, Time now);

  // Processes whose lease is running, for a leader.
  std::size_t live_leases(Time now) const { return leases_.live_count(now); }

  // The reply to a request whose proposal was lost or timed out.
  ControlReply NoQuorumReply(const ControlRequest& request) const;

 private:
  // The point from which a leader's command times run on with the monotonic
  // clock, so that a step of the wall clock does not expire claims.
  struct ClockBase {
    std::chrono::milliseconds wall_clock{0};
    Time now{};
  };

  void UpdateLeadership(const LeaderView& view, Time now);
  void UpdateRules();
  ControlCommand MakeCommand(ControlRequest request,
                             std::chrono::milliseconds wall_clock, Time now);
  ReplyOrCommand Propose(const PutConfiguration& put,
                         std::chrono::milliseconds wall_clock, Time now);
  PutConfiguration MakeLoggedChange(const PutConfiguration& put,
                                    const DocumentTree& tree) const;
  FetchStateReply Fetch(const FetchState& fetch, bool current, Time now);
  RenewLeaseReply Renew(const RenewLease& renew, bool current, Time now);
  ReadStatusReply Status(const LeaderView& view, Time now) const;

  const ControlState& state_;
  LeaseTable leases_;
  LimitSplitter splitter_;
  // Of the newest document that this binary understands; may be null.
  std::shared_ptr<const ServingRules> rules_;
  std::optional<std::uint64_t> leading_term_;
  std::optional<ClockBase> clock_;
  Revision rules_revision_ = 0;
};

}  // namespace coltsfootfork

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

// The leadership as the replication layer sees it at the time of a request.
struct LeaderView {
  // This replica is the leader, its leader lease is valid, and it has applied
  // an entry of its own term, so its applied state is current.
  bool holds_lease = false;
  // Empty if unknown.
  ProcessId leader;
  std::uint64_t term = 0;
  // The members of the group.
  std::vector<ReplicaStatus> replicas;
};

// Either a reply to send at once, or a command to propose to the log. In the
// second case ControlState::Apply returns the reply once the command is
// committed.
using ReplyOrCommand = std::variant<ControlReply, ControlCommand>;

// Handles control requests on a replica. Reads and lease renewals are replied
// to at once; writes go through the log. The service validates changes before
// they are proposed and replaces documents by patches to keep the log small.
class ControlService {
 public:
  // `state` must outlive the service.
  explicit ControlService(const ControlState& state, LeaseLimits limits = {})
      : state_(state), leases_(limits), splitter_(limits.lease) {}

  // `wall_clock` is the time since 1970.
  ReplyOrCommand Handle(const ControlRequest& request, const LeaderView& view,
                        std::chrono::milliseconds wall_clock, Time now);

  // Must be called several times per lease period.
  void Tick(const LeaderView& view, Time now);

  // The number of processes with a valid lease; meaningful on the leader only.
  std::size_t live_leases(Time now) const { return leases_.live_count(now); }

  // The reply to a request whose proposal was lost or timed out.
  ControlReply NoQuorumReply(const ControlRequest& request) const;

 private:
  // Command times are `wall_clock` plus the monotonic time elapsed since
  // `now`, so that a step of the leader's wall clock does not expire claims.
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
  // Rules of the newest document that this binary can parse; may be null.
  std::shared_ptr<const ServingRules> rules_;
  std::optional<std::uint64_t> leading_term_;
  std::optional<ClockBase> clock_;
  Revision rules_revision_ = 0;
};

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Splits the limits of workspaces over the live entries, on the leader. An
// entry's part grows only by what others have given back with their own
// renewals, so that the parts in use never sum up to more than the limit. It
// keeps what the entries' last renewals said and what they were granted.
class LimitSplitter {
 public:
  // Entries that were silent for longer than the lease count no more.
  explicit LimitSplitter(std::chrono::milliseconds lease) : lease_(lease) {}

  // Takes one renewal of an entry and fills in its place and parts.
  void OnRenewal(const RenewLease& renew, const ServingRules* rules, Time now,
                 RenewLeaseReply& reply);
  void Clear();

 private:
  struct EntryState {
    Time renewed_at{};
    std::map<WorkspaceId, LimitShare> demanded;
  };

  // What each entry holds of one workspace's limits.
  using GrantedShares = std::map<ProcessId, LimitShare>;

  void RemoveExpired(Time now);
  void Remove(const ProcessId& process);
  // The part of the entry at that place, kept in the grants unless it is even.
  LimitShare Grant(const Workspace& workspace, const ProcessId& process,
                   const EntryPlace& place, GrantedShares& granted) const;
  bool IsDemanded(const WorkspaceId& workspace) const;

  std::chrono::milliseconds lease_;
  std::map<ProcessId, EntryState> entries_;
  // Only workspaces whose parts are not all even.
  std::map<WorkspaceId, GrantedShares> granted_shares_;
};

}  // namespace coltsfootfork

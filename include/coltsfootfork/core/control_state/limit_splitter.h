#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Splits the limits of workspaces among the live entries, on the leader. An
// entry's share grows only by the amount that other entries have released with
// their own renewals, so the shares in use never add up to more than the limit.
class LimitSplitter {
 public:
  // Entries that haven't renewed within `lease` are removed.
  explicit LimitSplitter(std::chrono::milliseconds lease) : lease_(lease) {}

  // Processes the lease renewal of an entry, and sets the entry's place and
  // limit shares in `reply`.
  void OnRenewal(const RenewLease& renew, const ServingRules* rules, Time now,
                 RenewLeaseReply& reply);
  void Clear();

 private:
  struct EntryState {
    Time renewed_at{};
    std::map<WorkspaceId, LimitShare> demanded;
  };

  // The limit shares granted to each entry for one workspace.
  using GrantedShares = std::map<ProcessId, LimitShare>;

  void RemoveExpired(Time now);
  void Remove(const ProcessId& process);
  // Computes the share of the entry at `place`, and stores it in the granted
  // shares unless it equals the even split.
  LimitShare Grant(const Workspace& workspace, const ProcessId& process,
                   const EntryPlace& place, GrantedShares& granted) const;
  bool IsDemanded(const WorkspaceId& workspace) const;

  std::chrono::milliseconds lease_;
  std::map<ProcessId, EntryState> entries_;
  // Holds only workspaces whose shares differ from the even split.
  std::map<WorkspaceId, GrantedShares> granted_shares_;
};

}  // namespace coltsfootfork

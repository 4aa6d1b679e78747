#pragma once

#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/messages/limit_messages.h"

namespace coltsfootfork {

// Selects the demands to report to the control leader: those that exceed half
// of an even share of a limit. For lower demands an even share is sufficient.
std::vector<WorkspaceDemand> DemandsToReport(
    const std::vector<WorkspaceDemand>& demands,
    const Configuration& configuration, const EntryPlace& place);

// Returns this entry's shares of all workspace limits: the shares granted by
// the leader, and even shares for workspaces that the reply does not list. The
// shares of a limit over all entries add up to that limit.
std::vector<WorkspaceLimitShare> SharesOfEntry(
    const RenewLeaseReply& reply, const Configuration& configuration);

}  // namespace coltsfootfork

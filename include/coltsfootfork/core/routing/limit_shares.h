#pragma once

#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/messages/limit_messages.h"

namespace coltsfootfork {

// The demands worth telling the control leader: those that use more than half
// of an even part of a limit. For the others the even part is enough.
std::vector<WorkspaceDemand> DemandsToReport(
    const std::vector<WorkspaceDemand>& demands,
    const Configuration& configuration, const EntryPlace& place);

// This entry's parts of all workspaces' limits: as the leader split them, and
// even parts for those that it did not name. Over all entries the parts of a
// limit sum up to it.
std::vector<WorkspaceLimitShare> SharesOfEntry(
    const RenewLeaseReply& reply, const Configuration& configuration);

}  // namespace coltsfootfork

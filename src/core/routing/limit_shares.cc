#include "coltsfootfork/core/routing/limit_shares.h"

#include <map>

#include "coltsfootfork/core/routing/demand_split.h"

namespace coltsfootfork {
namespace {

bool IsLimited(const WorkspaceLimits& limits) {
  return limits.requests_per_second > 0 || limits.tokens_per_second > 0 ||
         limits.concurrent_streams > 0;
}

bool IsHighDemand(std::uint32_t wanted, std::uint32_t limit,
                  std::uint32_t entries) {
  constexpr std::uint64_t kHighDemandDivisor = 2;
  return limit > 0 && kHighDemandDivisor * wanted * entries > limit;
}

LimitShare EvenPart(const WorkspaceLimits& limits, const EntryPlace& place) {
  const std::vector<EntryDemand> idle(place.entries);
  return SplitByDemand(limits, idle).at(place.index).share;
}

}  // namespace

std::vector<WorkspaceDemand> DemandsToReport(
    const std::vector<WorkspaceDemand>& demands,
    const Configuration& configuration, const EntryPlace& place) {
  std::map<WorkspaceId, const Workspace*> workspaces;
  for (const Workspace& workspace : configuration.workspaces) {
    workspaces[workspace.id] = &workspace;
  }
  std::vector<WorkspaceDemand> reported;
  for (const WorkspaceDemand& demand : demands) {
    const auto found = workspaces.find(demand.workspace);
    if (found == workspaces.end()) continue;
    const WorkspaceLimits& limits = found->second->limits;
    const LimitShare& wanted = demand.wanted;
    if (IsHighDemand(wanted.requests_per_second, limits.requests_per_second,
                     place.entries) ||
        IsHighDemand(wanted.tokens_per_second, limits.tokens_per_second,
                     place.entries) ||
        IsHighDemand(wanted.concurrent_streams, limits.concurrent_streams,
                     place.entries)) {
      reported.push_back(demand);
    }
  }
  return reported;
}

std::vector<WorkspaceLimitShare> SharesOfEntry(
    const RenewLeaseReply& reply, const Configuration& configuration) {
  std::map<WorkspaceId, LimitShare> split;
  for (const WorkspaceLimitShare& share : reply.shares) {
    split[share.workspace] = share.share;
  }
  std::vector<WorkspaceLimitShare> shares;
  for (const Workspace& workspace : configuration.workspaces) {
    if (!IsLimited(workspace.limits)) continue;
    const auto found = split.find(workspace.id);
    shares.push_back(
        {workspace.id, found != split.end()
                           ? found->second
                           : EvenPart(workspace.limits, reply.place)});
  }
  return shares;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/control_state/limit_splitter.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>

#include "coltsfootfork/core/routing/demand_split.h"

namespace coltsfootfork {
namespace {

// Caps a demanded amount to the part of the limit that isn't allocated to
// other entries.
std::uint32_t CapToUnallocated(std::uint32_t limit,
                               std::uint64_t allocated_to_others,
                               std::uint32_t demanded) {
  const std::uint64_t unallocated =
      allocated_to_others < limit ? limit - allocated_to_others : 0;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(demanded, unallocated));
}

bool IsSameShare(const LimitShare& a, const LimitShare& b) {
  return a.requests_per_second == b.requests_per_second &&
         a.tokens_per_second == b.tokens_per_second &&
         a.concurrent_streams == b.concurrent_streams;
}

// Sums of the shares allocated to the other entries.
struct AllocatedToOthers {
  std::uint64_t requests_per_second = 0;
  std::uint64_t tokens_per_second = 0;
  std::uint64_t concurrent_streams = 0;

  void Add(const LimitShare& share) {
    requests_per_second += share.requests_per_second;
    tokens_per_second += share.tokens_per_second;
    concurrent_streams += share.concurrent_streams;
  }
};

}  // namespace

void LimitSplitter::OnRenewal(const RenewLease& renew,
                              const ServingRules* rules, Time now,
                              RenewLeaseReply& reply) {
  if (renew.roles.find("entry") == std::string::npos) return;
  if (renew.stopping) return Remove(renew.process);
  EntryState& self = entries_[renew.process];
  self.renewed_at = now;
  self.demanded.clear();
  for (const WorkspaceDemand& demand : renew.demand) {
    self.demanded[demand.workspace] = demand.wanted;
    granted_shares_.try_emplace(demand.workspace);
  }
  RemoveExpired(now);
  reply.place.entries = static_cast<std::uint32_t>(entries_.size());
  reply.place.index = static_cast<std::uint32_t>(
      std::distance(entries_.begin(), entries_.find(renew.process)));
  if (rules == nullptr) return;
  for (auto it = granted_shares_.begin(); it != granted_shares_.end();) {
    const Workspace* workspace = rules->FindWorkspace(it->first);
    if (workspace == nullptr) {
      it = granted_shares_.erase(it);
      continue;
    }
    reply.shares.push_back(
        {it->first, Grant(*workspace, renew.process, reply.place, it->second)});
    const bool is_even_split = it->second.empty() && !IsDemanded(it->first);
    it = is_even_split ? granted_shares_.erase(it) : std::next(it);
  }
}

LimitShare LimitSplitter::Grant(const Workspace& workspace,
                                const ProcessId& process,
                                const EntryPlace& place,
                                GrantedShares& granted) const {
  std::vector<EntryDemand> demands;
  for (const auto& [other, entry] : entries_) {
    const auto demanded = entry.demanded.find(workspace.id);
    demands.push_back({other, demanded == entry.demanded.end()
                                  ? LimitShare{}
                                  : demanded->second});
  }
  const LimitShare target =
      SplitByDemand(workspace.limits, demands).at(place.index).share;
  const std::vector<EntryShare> even_shares =
      SplitByDemand(workspace.limits, std::vector<EntryDemand>(demands.size()));
  AllocatedToOthers allocated;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    if (i == place.index) continue;
    const auto explicit_share = granted.find(demands[i].entry);
    allocated.Add(explicit_share == granted.end() ? even_shares[i].share
                                                  : explicit_share->second);
  }
  const WorkspaceLimits& limits = workspace.limits;
  const LimitShare granted_share = {
      CapToUnallocated(limits.requests_per_second,
                       allocated.requests_per_second,
                       target.requests_per_second),
      CapToUnallocated(limits.tokens_per_second, allocated.tokens_per_second,
                       target.tokens_per_second),
      CapToUnallocated(limits.concurrent_streams, allocated.concurrent_streams,
                       target.concurrent_streams)};
  if (IsSameShare(granted_share, even_shares[place.index].share)) {
    granted.erase(process);
  } else {
    granted[process] = granted_share;
  }
  return granted_share;
}

bool LimitSplitter::IsDemanded(const WorkspaceId& workspace) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry.second.demanded.count(workspace) > 0;
  });
}

void LimitSplitter::Clear() {
  entries_.clear();
  granted_shares_.clear();
}

void LimitSplitter::RemoveExpired(Time now) {
  std::vector<ProcessId> expired;
  for (const auto& [process, entry] : entries_) {
    if (now - entry.renewed_at >= lease_) expired.push_back(process);
  }
  for (const ProcessId& process : expired) Remove(process);
}

void LimitSplitter::Remove(const ProcessId& process) {
  entries_.erase(process);
  for (auto& [workspace, granted] : granted_shares_) granted.erase(process);
}

}  // namespace coltsfootfork

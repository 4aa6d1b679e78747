#include "coltsfootfork/core/control_state/limit_splitter.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>

#include "coltsfootfork/core/routing/demand_split.h"

namespace coltsfootfork {
namespace {

// The part that leaves the others what they hold.
std::uint32_t Within(std::uint32_t limit, std::uint64_t held_by_others,
                     std::uint32_t wanted) {
  const std::uint64_t left =
      held_by_others < limit ? limit - held_by_others : 0;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, left));
}

bool Same(const LimitShare& a, const LimitShare& b) {
  return a.requests_per_second == b.requests_per_second &&
         a.tokens_per_second == b.tokens_per_second &&
         a.concurrent_streams == b.concurrent_streams;
}

// The sums of what the other entries hold.
struct HeldByOthers {
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

void LimitSplitter::Answer(const RenewLease& renew, const ServingRules* rules,
                           Time now, RenewLeaseReply& reply) {
  if (renew.roles.find("entry") == std::string::npos) return;
  if (renew.stopping) return Drop(renew.process);
  Entry& self = entries_[renew.process];
  self.renewed_at = now;
  self.wanted.clear();
  for (const WorkspaceDemand& demand : renew.demand) {
    self.wanted[demand.workspace] = demand.wanted;
    granted_.try_emplace(demand.workspace);
  }
  DropSilent(now);
  reply.place.entries = static_cast<std::uint32_t>(entries_.size());
  reply.place.index = static_cast<std::uint32_t>(
      std::distance(entries_.begin(), entries_.find(renew.process)));
  if (rules == nullptr) return;
  for (auto it = granted_.begin(); it != granted_.end();) {
    const Workspace* workspace = rules->FindWorkspace(it->first);
    if (workspace == nullptr) {
      it = granted_.erase(it);
      continue;
    }
    reply.shares.push_back(
        {it->first, Grant(*workspace, renew.process, reply.place, it->second)});
    const bool all_even = it->second.empty() && !IsWanted(it->first);
    it = all_even ? granted_.erase(it) : std::next(it);
  }
}

LimitShare LimitSplitter::Grant(const Workspace& workspace,
                                const ProcessId& process,
                                const EntryPlace& place,
                                Granted& granted) const {
  std::vector<EntryDemand> demands;
  for (const auto& [other, entry] : entries_) {
    const auto wanted = entry.wanted.find(workspace.id);
    demands.push_back(
        {other, wanted == entry.wanted.end() ? LimitShare{} : wanted->second});
  }
  const LimitShare target =
      SplitByDemand(workspace.limits, demands).at(place.index).share;
  const std::vector<EntryShare> even =
      SplitByDemand(workspace.limits, std::vector<EntryDemand>(demands.size()));
  HeldByOthers held;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    if (i == place.index) continue;
    const auto explicit_part = granted.find(demands[i].entry);
    held.Add(explicit_part == granted.end() ? even[i].share
                                            : explicit_part->second);
  }
  const WorkspaceLimits& limits = workspace.limits;
  const LimitShare part = {
      Within(limits.requests_per_second, held.requests_per_second,
             target.requests_per_second),
      Within(limits.tokens_per_second, held.tokens_per_second,
             target.tokens_per_second),
      Within(limits.concurrent_streams, held.concurrent_streams,
             target.concurrent_streams)};
  if (Same(part, even[place.index].share)) {
    granted.erase(process);
  } else {
    granted[process] = part;
  }
  return part;
}

bool LimitSplitter::IsWanted(const WorkspaceId& workspace) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry.second.wanted.count(workspace) > 0;
  });
}

void LimitSplitter::Clear() {
  entries_.clear();
  granted_.clear();
}

void LimitSplitter::DropSilent(Time now) {
  std::vector<ProcessId> silent;
  for (const auto& [process, entry] : entries_) {
    if (now - entry.renewed_at >= lease_) silent.push_back(process);
  }
  for (const ProcessId& process : silent) Drop(process);
}

void LimitSplitter::Drop(const ProcessId& process) {
  entries_.erase(process);
  for (auto& [workspace, granted] : granted_) granted.erase(process);
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/control_state/limit_splitter.h"

#include <iterator>
#include <set>

#include "coltsfootfork/core/routing/demand_split.h"

namespace coltsfootfork {

void LimitSplitter::Answer(const RenewLease& renew, const ServingRules* rules,
                           Time now, RenewLeaseReply& reply) {
  if (renew.roles.find("entry") == std::string::npos) return;
  Entry& self = entries_[renew.process];
  self.renewed_at = now;
  self.wanted.clear();
  for (const WorkspaceDemand& demand : renew.demand) {
    self.wanted[demand.workspace] = demand.wanted;
  }
  if (renew.stopping) entries_.erase(renew.process);
  DropSilent(now);
  const auto place = entries_.find(renew.process);
  if (place == entries_.end()) return;
  reply.place.entries = static_cast<std::uint32_t>(entries_.size());
  reply.place.index =
      static_cast<std::uint32_t>(std::distance(entries_.begin(), place));
  if (rules == nullptr) return;

  std::set<WorkspaceId> wanted;
  for (const auto& [process, entry] : entries_) {
    for (const auto& [workspace, share] : entry.wanted) {
      wanted.insert(workspace);
    }
  }
  for (const WorkspaceId& id : wanted) {
    const Workspace* workspace = rules->FindWorkspace(id);
    if (workspace == nullptr) continue;
    std::vector<EntryDemand> demands;
    for (const auto& [process, entry] : entries_) {
      const auto found = entry.wanted.find(id);
      demands.push_back({process, found == entry.wanted.end() ? LimitShare{}
                                                              : found->second});
    }
    reply.shares.push_back({id, SplitByDemand(workspace->limits, demands)
                                    .at(reply.place.index)
                                    .share});
  }
}

void LimitSplitter::DropSilent(Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool silent = now - it->second.renewed_at >= lease_;
    it = silent ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace coltsfootfork

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"

namespace coltsfootfork {

// An index over a configuration for lookups on the request path. The time of a
// lookup is nearly independent of the number of workspaces, services and rank
// rules.
class ServingRules {
 public:
  explicit ServingRules(std::shared_ptr<const Configuration> configuration);

  const Configuration& configuration() const { return *configuration_; }
  Revision revision() const { return configuration_->revision; }

  // Returns the rank of the first matching rule, or deferrable if none matches.
  Rank RankOf(const WorkspaceId& workspace, const ServiceId& service) const;

  // Returns true if a call may run at most once. The query of the path is
  // ignored. Percent-encoding, dot segments and repeated slashes don't prevent
  // a match.
  bool IsNonIdempotent(const ServiceId& service, std::string_view method,
                       std::string_view path) const;

  // Returns the workspace with this bearer key, or null.
  const Workspace* FindWorkspaceByKey(std::string_view bearer_key) const;

  // These return null if the inventory has no entity with this id.
  const Workspace* FindWorkspace(const WorkspaceId& id) const;
  const Service* FindService(const ServiceId& id) const;
  const InventoryServer* FindServer(const ServerId& id) const;

  const RankTarget& TargetOf(Rank rank) const;

 private:
  // A rule's workspace and service; empty where the rule matches all.
  struct RankScope {
    WorkspaceId workspace;
    ServiceId service;

    friend bool operator<(const RankScope& a, const RankScope& b) {
      return a.workspace != b.workspace ? a.workspace < b.workspace
                                        : a.service < b.service;
    }
  };

  void IndexEntities();
  void IndexRules();
  // Returns the index of the first rule with exactly this scope, or the number
  // of rules if there is none.
  std::size_t FirstRule(const WorkspaceId& workspace,
                        const ServiceId& service) const;

  std::shared_ptr<const Configuration> configuration_;
  std::unordered_map<WorkspaceId, const Workspace*> workspaces_;
  std::unordered_map<ServiceId, const Service*> services_;
  std::unordered_map<ServerId, const InventoryServer*> servers_;
  std::unordered_map<std::string, const Workspace*> workspaces_by_key_;
  std::map<RankScope, std::size_t> first_rank_rules_;
  std::unordered_map<ServiceId, std::vector<const NonIdempotentRule*>>
      non_idempotent_;
};

}  // namespace coltsfootfork

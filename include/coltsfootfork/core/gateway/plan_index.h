#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coltsfootfork/core/gateway/routing_plan.h"

namespace coltsfootfork {

// A routing plan with what each call looks up in it. It is large: calls share
// the one that they began under.
class PlanIndex {
 public:
  // An empty plan, of version 0.
  PlanIndex();
  explicit PlanIndex(std::shared_ptr<const RoutingPlan> plan);

  const RoutingPlan& plan() const { return *plan_; }

  // Among the routes of the host, the one with the longest prefix that begins
  // the path. The host may carry a port. Null where none fits.
  const PlanRoute* FindRoute(std::string_view host,
                             std::string_view target) const;
  // The workspace that holds the key, or null.
  const PlanWorkspace* FindWorkspace(const std::string& key) const;
  const PlanService* FindService(const ServiceId& service) const;
  // How urgent a call is: its workspace's rank decides, and among equals the
  // route's. 0 is the most urgent pair that the plan knows; the next follows
  // without a gap. Null for a call without a workspace.
  std::uint32_t RankOf(const PlanRoute& route,
                       const PlanWorkspace* workspace) const;

 private:
  std::shared_ptr<const RoutingPlan> plan_;
  // By host and prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const PlanRoute*>>
      routes_;
  std::unordered_map<std::string, const PlanWorkspace*> workspaces_;
  std::unordered_map<ServiceId, const PlanService*> services_;
  // The ranks in use, in order.
  std::vector<std::uint32_t> workspace_ranks_;
  std::vector<std::uint32_t> route_ranks_;
};

}  // namespace coltsfootfork

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

// Returns the form in which hosts are compared: without a port, in lower case.
std::string NormalizeHost(std::string_view host);

// A routing plan with indexes for the lookups of each call. Since a plan is
// large, calls share the instance that was in force when they started.
class PlanIndex {
 public:
  // An empty plan, of version 0.
  PlanIndex();
  explicit PlanIndex(std::shared_ptr<const RoutingPlan> plan);

  const RoutingPlan& plan() const { return *plan_; }

  // Returns the route of the host with the longest prefix of the path, or null
  // if none matches. `host` may include a port, `target` a query string.
  const PlanRoute* FindRoute(std::string_view host,
                             std::string_view target) const;
  // Returns the workspace of the API key, or null.
  const PlanWorkspace* FindWorkspace(const std::string& key) const;
  const PlanService* FindService(const ServiceId& service) const;
  // Returns the urgency of a call: ordered by the rank of the workspace, then
  // by that of the route, and numbered without gaps from 0 for the most urgent
  // pair in the plan. `workspace` is null for a call without one.
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
  // Distinct ranks in the plan, ascending.
  std::vector<std::uint32_t> workspace_ranks_;
  std::vector<std::uint32_t> route_ranks_;
};

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/routing_plan.h"

#include <map>
#include <set>
#include <utility>

namespace coltsfootfork {
namespace {

void CheckRoute(const PlanRoute& route, const std::string& pointer,
                const std::set<ServiceId>& services, Findings& findings) {
  if (route.timeout.count() <= 0) {
    findings.Add(pointer, "must have a timeout above zero");
  }
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    findings.Add(pointer,
                 "must have a prefix that begins and ends with a slash");
  }
  std::uint64_t weight = 0;
  for (const WeightedService& weighted : route.services) {
    weight += weighted.weight;
    if (services.count(weighted.service) == 0) {
      findings.Add(pointer, "unknown service: " + weighted.service.value());
    }
  }
  if (weight == 0) findings.Add(pointer, "must have weights above zero");
}

void CheckRoutes(const RoutingPlan& plan, Findings& findings) {
  std::set<ServiceId> services;
  for (const PlanService& service : plan.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (std::size_t i = 0; i < plan.routes.size(); ++i) {
    const PlanRoute& route = plan.routes[i];
    const std::string pointer = "/routes/" + std::to_string(i);
    CheckRoute(route, pointer, services, findings);
    if (!host_prefixes.emplace(route.host, route.path_prefix).second) {
      findings.Add(pointer, "has the host and prefix of another route");
    }
  }
}

void CheckKeys(const RoutingPlan& plan, Findings& findings) {
  std::map<std::string, std::size_t> owners;
  for (std::size_t i = 0; i < plan.workspaces.size(); ++i) {
    for (const std::string& key : plan.workspaces[i].keys) {
      const auto [owner, added] = owners.emplace(key, i);
      if (added || owner->second == i) continue;
      findings.Add("/workspaces/" + std::to_string(i),
                   "has a key of another workspace");
    }
  }
}

}  // namespace

Findings CheckRoutingPlan(const RoutingPlan& plan) {
  Findings findings;
  CheckRoutes(plan, findings);
  CheckKeys(plan, findings);
  return findings;
}

}  // namespace coltsfootfork

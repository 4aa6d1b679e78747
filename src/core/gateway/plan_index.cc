#include "coltsfootfork/core/gateway/plan_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace coltsfootfork {
namespace {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

void SortAndDeduplicate(std::vector<std::uint32_t>& ranks) {
  std::sort(ranks.begin(), ranks.end());
  ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
}

std::uint32_t IndexOf(const std::vector<std::uint32_t>& ranks,
                      std::uint32_t rank) {
  return static_cast<std::uint32_t>(
      std::lower_bound(ranks.begin(), ranks.end(), rank) - ranks.begin());
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string normalized(host.substr(0, colon));
  std::transform(
      normalized.begin(), normalized.end(), normalized.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return normalized;
}

PlanIndex::PlanIndex() : PlanIndex(std::make_shared<const RoutingPlan>()) {}

PlanIndex::PlanIndex(std::shared_ptr<const RoutingPlan> plan)
    : plan_(std::move(plan)) {
  for (const PlanRoute& route : plan_->routes) {
    routes_[NormalizeHost(route.host)][route.path_prefix] = &route;
  }
  for (const PlanWorkspace& workspace : plan_->workspaces) {
    for (const std::string& key : workspace.keys) {
      workspaces_[key] = &workspace;
    }
  }
  for (const PlanService& service : plan_->services) {
    services_[service.name] = &service;
  }
  for (const PlanRoute& route : plan_->routes) {
    route_ranks_.push_back(route.rank);
  }
  for (const PlanWorkspace& workspace : plan_->workspaces) {
    if (workspace.rank) workspace_ranks_.push_back(*workspace.rank);
  }
  SortAndDeduplicate(route_ranks_);
  SortAndDeduplicate(workspace_ranks_);
}

const PlanRoute* PlanIndex::FindRoute(std::string_view host,
                                      std::string_view target) const {
  const auto host_routes = routes_.find(NormalizeHost(host));
  if (host_routes == routes_.end()) return nullptr;
  std::string_view path = PathOf(target);
  // Prefixes end with a slash, so only those positions are looked up.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found =
        host_routes->second.find(std::string(path.substr(0, end + 1)));
    if (found != host_routes->second.end()) return found->second;
  }
  return nullptr;
}

const PlanWorkspace* PlanIndex::FindWorkspace(const std::string& key) const {
  const auto found = workspaces_.find(key);
  return found == workspaces_.end() ? nullptr : found->second;
}

const PlanService* PlanIndex::FindService(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

std::uint32_t PlanIndex::RankOf(const PlanRoute& route,
                                const PlanWorkspace* workspace) const {
  const std::uint32_t route_index = IndexOf(route_ranks_, route.rank);
  if (workspace == nullptr || !workspace->rank) return route_index;
  return IndexOf(workspace_ranks_, *workspace->rank) *
             static_cast<std::uint32_t>(route_ranks_.size()) +
         route_index;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/placement/order_planner.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

constexpr const char* kLoad = "load";
constexpr const char* kUnload = "unload";

bool Contains(const std::vector<ServiceId>& list, const ServiceId& service) {
  return std::find(list.begin(), list.end(), service) != list.end();
}

bool IsModel(const ServingRules& rules, const ServiceId& id) {
  const Service* service = rules.FindService(id);
  return service != nullptr && service->kind == RequestKind::kGeneration;
}

const PlacedServer* FindServer(const std::vector<PlacedServer>& servers,
                               const ServerId& id) {
  const auto found = std::find_if(
      servers.begin(), servers.end(),
      [&id](const PlacedServer& server) { return server.server == id; });
  return found == servers.end() ? nullptr : &*found;
}

std::uint64_t DemandOf(const ServiceDemand& demand, const ServiceId& service) {
  const auto found = demand.find(service);
  return found == demand.end() ? 0 : found->second;
}

}  // namespace

void OrderPlanner::StartTerm(std::uint64_t term, Time now) {
  term_ = term;
  sequence_ = 0;
  started_at_ = now;
  last_load_at_.reset();
  active_orders_.clear();
}

std::vector<PlannedOrder> OrderPlanner::Tick(
    const ServingRules& rules, const std::vector<PlacedServer>& servers,
    const ServiceDemand& demand, Time now) {
  std::vector<PlannedOrder> orders;
  if (now - started_at_ < limits_.leader_lease) return orders;
  DropFinished(servers, now);
  const ServingCounts counts = CountServing(servers);
  PlanUnloads(rules, servers, counts, now, orders);
  for (const Candidate& candidate :
       LoadCandidates(rules, servers, counts, demand)) {
    const bool is_too_soon = last_load_at_.has_value() &&
                             now - *last_load_at_ < limits_.min_load_interval;
    if (is_too_soon || ActiveLoads() >= limits_.max_concurrent_loads) break;
    if (active_orders_.count(candidate.server->server) > 0) continue;
    last_load_at_ = now;
    orders.push_back(
        IssueOrder(*candidate.server, kLoad, candidate.service, now));
  }
  return orders;
}

void OrderPlanner::OnResult(const ServerId& server,
                            const EngineOrderResult& result, Time now) {
  const auto active = active_orders_.find(server);
  if (active == active_orders_.end() || result.applied) return;
  // Ignore a late reply to an earlier order.
  if (!(active->second.order.fence == result.fence)) return;
  active->second.failed = true;
  active->second.issued_at = now;
}

void OrderPlanner::DropFinished(const std::vector<PlacedServer>& servers,
                                Time now) {
  for (auto active = active_orders_.begin(); active != active_orders_.end();) {
    const PlacedServer* server = FindServer(servers, active->first);
    const bool is_finished = IsFinished(active->second, server, now);
    active = is_finished ? active_orders_.erase(active) : std::next(active);
  }
}

bool OrderPlanner::IsFinished(const ActiveOrder& active,
                              const PlacedServer* server, Time now) const {
  const auto elapsed = now - active.issued_at;
  if (active.failed) return elapsed >= limits_.failure_delay;
  if (elapsed >= limits_.order_timeout) return true;
  // A server that is briefly missing from the reports may still be loading.
  if (server == nullptr) return false;
  const bool loaded =
      Contains(server->services, ServiceId(active.order.subject));
  return loaded == (active.order.action == kLoad);
}

OrderPlanner::ServingCounts OrderPlanner::CountServing(
    const std::vector<PlacedServer>& servers) const {
  ServingCounts counts;
  for (const PlacedServer& server : servers) {
    if (!server.serving) continue;
    const auto active = active_orders_.find(server.server);
    for (const ServiceId& service : server.services) {
      const bool is_unloading = active != active_orders_.end() &&
                                active->second.order.action == kUnload &&
                                active->second.order.subject == service.value();
      if (!is_unloading) ++counts[service];
    }
  }
  return counts;
}

std::vector<OrderPlanner::Candidate> OrderPlanner::LoadCandidates(
    const ServingRules& rules, const std::vector<PlacedServer>& servers,
    const ServingCounts& counts, const ServiceDemand& demand) const {
  std::vector<Candidate> candidates;
  for (const PlacedServer& server : servers) {
    const InventoryServer* inventory_server = rules.FindServer(server.server);
    if (inventory_server == nullptr || !server.serving) continue;
    for (const ServiceId& service : inventory_server->services) {
      if (!IsModel(rules, service)) continue;
      if (Contains(server.services, service)) continue;
      const auto count = counts.find(service);
      candidates.push_back({&server, service,
                            count == counts.end() ? 0 : count->second,
                            DemandOf(demand, service)});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              const bool a_is_unserved = a.serving_engines == 0;
              const bool b_is_unserved = b.serving_engines == 0;
              if (a_is_unserved != b_is_unserved) return a_is_unserved;
              // Compares queued tokens per engine without division.
              const auto a_pressure =
                  a.demand * std::max<std::uint64_t>(b.serving_engines, 1);
              const auto b_pressure =
                  b.demand * std::max<std::uint64_t>(a.serving_engines, 1);
              if (a_pressure != b_pressure) return a_pressure > b_pressure;
              if (a.service != b.service) return a.service < b.service;
              return a.server->server < b.server->server;
            });
  return candidates;
}

void OrderPlanner::PlanUnloads(const ServingRules& rules,
                               const std::vector<PlacedServer>& servers,
                               ServingCounts counts, Time now,
                               std::vector<PlannedOrder>& orders) {
  for (const PlacedServer& server : servers) {
    const InventoryServer* inventory_server = rules.FindServer(server.server);
    if (inventory_server == nullptr ||
        active_orders_.count(server.server) > 0) {
      continue;
    }
    for (const ServiceId& service : server.services) {
      if (Contains(inventory_server->services, service)) continue;
      // A model that is not in the inventory serves no requests, so even its
      // last engine may unload it.
      const bool is_listed = rules.FindService(service) != nullptr;
      if (is_listed && !IsModel(rules, service)) continue;
      const bool is_last = server.serving && counts[service] <= 1;
      if (is_listed && is_last) continue;
      if (server.serving) --counts[service];
      orders.push_back(IssueOrder(server, kUnload, service, now));
      break;
    }
  }
}

std::size_t OrderPlanner::ActiveLoads() const {
  return static_cast<std::size_t>(std::count_if(
      active_orders_.begin(), active_orders_.end(), [](const auto& active) {
        return active.second.order.action == kLoad && !active.second.failed;
      }));
}

PlannedOrder OrderPlanner::IssueOrder(const PlacedServer& server,
                                      const char* action,
                                      const ServiceId& service, Time now) {
  EngineOrder order;
  order.fence = {term_, ++sequence_};
  order.action = action;
  order.subject = service.value();
  active_orders_[server.server] = {order, now, false};
  return {server.server, server.agent, order};
}

}  // namespace coltsfootfork

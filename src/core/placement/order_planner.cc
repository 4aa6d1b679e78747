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
  const auto found =
      std::find_if(servers.begin(), servers.end(),
                   [&id](const PlacedServer& s) { return s.server == id; });
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
  running_.clear();
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
    const bool too_soon = last_load_at_.has_value() &&
                          now - *last_load_at_ < limits_.load_spacing;
    if (too_soon || LoadsRunning() >= limits_.loads_at_once) break;
    if (running_.count(candidate.server->server) > 0) continue;
    last_load_at_ = now;
    orders.push_back(Give(*candidate.server, kLoad, candidate.service, now));
  }
  return orders;
}

void OrderPlanner::OnResult(const ServerId& server,
                            const EngineOrderResult& result, Time now) {
  const auto running = running_.find(server);
  if (running == running_.end() || result.applied) return;
  // A late answer to an earlier order says nothing of this one.
  if (!(running->second.order.fence == result.fence)) return;
  running->second.failed = true;
  running->second.given_at = now;
}

void OrderPlanner::DropFinished(const std::vector<PlacedServer>& servers,
                                Time now) {
  for (auto running = running_.begin(); running != running_.end();) {
    const PlacedServer* server = FindServer(servers, running->first);
    const bool over = IsOver(running->second, server, now);
    running = over ? running_.erase(running) : std::next(running);
  }
}

bool OrderPlanner::IsOver(const Running& running, const PlacedServer* server,
                          Time now) const {
  const auto waited = now - running.given_at;
  if (running.failed) return waited >= limits_.failure_delay;
  if (waited >= limits_.order_timeout) return true;
  // A server that is gone for a moment may still be loading.
  if (server == nullptr) return false;
  const bool loaded =
      Contains(server->services, ServiceId(running.order.subject));
  return loaded == (running.order.action == kLoad);
}

OrderPlanner::ServingCounts OrderPlanner::CountServing(
    const std::vector<PlacedServer>& servers) const {
  ServingCounts counts;
  for (const PlacedServer& server : servers) {
    if (!server.serving) continue;
    const auto running = running_.find(server.server);
    for (const ServiceId& service : server.services) {
      const bool leaving = running != running_.end() &&
                           running->second.order.action == kUnload &&
                           running->second.order.subject == service.value();
      if (!leaving) ++counts[service];
    }
  }
  return counts;
}

std::vector<OrderPlanner::Candidate> OrderPlanner::LoadCandidates(
    const ServingRules& rules, const std::vector<PlacedServer>& servers,
    const ServingCounts& counts, const ServiceDemand& demand) const {
  std::vector<Candidate> candidates;
  for (const PlacedServer& server : servers) {
    const InventoryServer* wanted = rules.FindServer(server.server);
    if (wanted == nullptr || !server.serving) continue;
    for (const ServiceId& service : wanted->services) {
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
              const bool a_missing = a.serving_engines == 0;
              const bool b_missing = b.serving_engines == 0;
              if (a_missing != b_missing) return a_missing;
              // Tokens that wait for each engine, compared without division.
              const auto a_load =
                  a.demand * std::max<std::uint64_t>(b.serving_engines, 1);
              const auto b_load =
                  b.demand * std::max<std::uint64_t>(a.serving_engines, 1);
              if (a_load != b_load) return a_load > b_load;
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
    const InventoryServer* wanted = rules.FindServer(server.server);
    if (wanted == nullptr || running_.count(server.server) > 0) continue;
    for (const ServiceId& service : server.services) {
      if (Contains(wanted->services, service)) continue;
      // A model that the inventory does not list at all serves nobody.
      const bool is_listed = rules.FindService(service) != nullptr;
      if (is_listed && !IsModel(rules, service)) continue;
      const bool is_last = server.serving && counts[service] <= 1;
      if (is_listed && is_last) continue;
      if (server.serving) --counts[service];
      orders.push_back(Give(server, kUnload, service, now));
      break;
    }
  }
}

std::size_t OrderPlanner::LoadsRunning() const {
  return static_cast<std::size_t>(
      std::count_if(running_.begin(), running_.end(), [](const auto& running) {
        return running.second.order.action == kLoad && !running.second.failed;
      }));
}

PlannedOrder OrderPlanner::Give(const PlacedServer& server, const char* action,
                                const ServiceId& service, Time now) {
  EngineOrder order;
  order.fence = {term_, ++sequence_};
  order.action = action;
  order.subject = service.value();
  running_[server.server] = {order, now, false};
  return {server.server, server.agent, order};
}

}  // namespace coltsfootfork

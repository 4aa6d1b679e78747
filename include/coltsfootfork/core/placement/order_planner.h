#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct PlannerLimits {
  // A new leader issues no orders for this long, so that the orders of its
  // predecessor have ended.
  std::chrono::milliseconds leader_lease{3000};
  // Limits the load on the store of model weights: the number of concurrent
  // model loads, and the minimum time between the starts of two loads.
  std::size_t max_concurrent_loads = 2;
  std::chrono::milliseconds min_load_interval{1000};
  // An order is reissued if no report shows its effect within this time.
  std::chrono::milliseconds order_timeout{120000};
  // Delay before the next order to a server that refused or failed one.
  std::chrono::milliseconds failure_delay{10000};
};

// A backend server as its agent last reported it.
struct PlacedServer {
  ServerId server;
  ProcessId agent;
  // Services that are loaded and ready, including those not in the inventory.
  std::vector<ServiceId> services;
  // The server accepts new work: it is not draining, and the inventory lists it
  // at this location.
  bool serving = false;
};

// Queued tokens of each service over the whole fleet.
using ServiceDemand = std::map<ServiceId, std::uint64_t>;

struct PlannedOrder {
  ServerId server;
  ProcessId agent;
  EngineOrder order;
};

// Plans which models each engine loads and unloads, so that the loaded models
// converge to the inventory. Runs on the leader only and keeps no state that a
// new leader would need: the agents' reports list the loaded models.
class OrderPlanner {
 public:
  explicit OrderPlanner(PlannerLimits limits = {}) : limits_(limits) {}

  // Starts a leadership term and forgets the orders of earlier terms.
  void StartTerm(std::uint64_t term, Time now);

  // Returns the orders to send now. `servers` lists all servers whose agents
  // have a live lease.
  std::vector<PlannedOrder> Tick(const ServingRules& rules,
                                 const std::vector<PlacedServer>& servers,
                                 const ServiceDemand& demand, Time now);

  // Handles the agent's reply to an order. An applied order stays active until
  // a report shows its effect.
  void OnResult(const ServerId& server, const EngineOrderResult& result,
                Time now);

  // Agents refuse orders with a lower fencing token, that is, those of earlier
  // terms.
  FencingToken fence_floor() const { return {term_, 0}; }

 private:
  // The order that a server is executing. A server has at most one, so that two
  // orders cannot take effect out of order.
  struct ActiveOrder {
    EngineOrder order;
    Time issued_at{};
    bool failed = false;
  };

  struct Candidate {
    const PlacedServer* server = nullptr;
    ServiceId service;
    // Used for sorting: a model that no engine serves comes first, then the one
    // with the most queued tokens per serving engine.
    std::size_t serving_engines = 0;
    std::uint64_t demand = 0;
  };

  // The number of engines serving each model, except engines that are unloading
  // it.
  using ServingCounts = std::map<ServiceId, std::size_t>;

  void DropFinished(const std::vector<PlacedServer>& servers, Time now);
  bool IsFinished(const ActiveOrder& active, const PlacedServer* server,
                  Time now) const;
  ServingCounts CountServing(const std::vector<PlacedServer>& servers) const;
  std::vector<Candidate> LoadCandidates(
      const ServingRules& rules, const std::vector<PlacedServer>& servers,
      const ServingCounts& counts, const ServiceDemand& demand) const;
  void PlanUnloads(const ServingRules& rules,
                   const std::vector<PlacedServer>& servers,
                   ServingCounts counts, Time now,
                   std::vector<PlannedOrder>& orders);
  std::size_t ActiveLoads() const;
  PlannedOrder IssueOrder(const PlacedServer& server, const char* action,
                          const ServiceId& service, Time now);

  PlannerLimits limits_;
  std::uint64_t term_ = 0;
  std::uint64_t sequence_ = 0;
  Time started_at_{};
  std::optional<Time> last_load_at_;
  std::map<ServerId, ActiveOrder> active_orders_;
};

}  // namespace coltsfootfork

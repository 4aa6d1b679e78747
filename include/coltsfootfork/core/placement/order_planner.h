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
  // A new leader gives no order before the orders of the former one are over.
  std::chrono::milliseconds leader_lease{3000};
  // Loads that draw on the store of weights at one time, and the time between
  // the starts of two of them.
  std::size_t loads_at_once = 2;
  std::chrono::milliseconds load_spacing{1000};
  // An order whose effect no report shows is given again after this.
  std::chrono::milliseconds order_timeout{120000};
  // A server that refused or failed an order gets the next one after this.
  std::chrono::milliseconds failure_delay{10000};
};

// A backend server as its agent last reported it.
struct PlacedServer {
  ServerId server;
  ProcessId agent;
  // Loaded and ready, whether the inventory lists them or not.
  std::vector<ServiceId> services;
  // It takes new work: it is not draining, and the inventory has it here.
  bool serving = false;
};

// Tokens that wait for a service over the whole fleet.
using ServiceDemand = std::map<ServiceId, std::uint64_t>;

struct PlannedOrder {
  ServerId server;
  ProcessId agent;
  EngineOrder order;
};

// Plans, on the leader only, which models each engine loads and unloads, so
// that the fleet comes to hold what the inventory lists. It keeps no state
// that a new leader would need: what is loaded is read from the reports.
class OrderPlanner {
 public:
  explicit OrderPlanner(PlannerLimits limits = {}) : limits_(limits) {}

  // A leadership begins. Orders of earlier terms are forgotten.
  void StartTerm(std::uint64_t term, Time now);

  // The orders to send now. Servers are all whose agents have a live lease.
  std::vector<PlannedOrder> Tick(const ServingRules& rules,
                                 const std::vector<PlacedServer>& servers,
                                 const ServiceDemand& demand, Time now);

  // The agent's answer to an order. An applied order still counts as running
  // until a report shows its effect.
  void OnResult(const ServerId& server, const EngineOrderResult& result,
                Time now);

  // Agents refuse orders below this: those of earlier terms.
  FencingToken floor() const { return {term_, 0}; }

 private:
  // The order that a server is carrying out. There is one at most, so that
  // the effects of two cannot cross.
  struct Running {
    EngineOrder order;
    Time given_at{};
    bool failed = false;
  };

  struct Candidate {
    const PlacedServer* server = nullptr;
    ServiceId service;
    // More urgent ones come first.
    std::size_t serving_engines = 0;
    std::uint64_t demand = 0;
  };

  // How many engines serve each model now, without running unloads.
  using ServingCounts = std::map<ServiceId, std::size_t>;

  void DropFinished(const std::vector<PlacedServer>& servers, Time now);
  bool IsOver(const Running& running, const PlacedServer* server,
              Time now) const;
  ServingCounts CountServing(const std::vector<PlacedServer>& servers) const;
  std::vector<Candidate> LoadCandidates(
      const ServingRules& rules, const std::vector<PlacedServer>& servers,
      const ServingCounts& counts, const ServiceDemand& demand) const;
  void PlanUnloads(const ServingRules& rules,
                   const std::vector<PlacedServer>& servers,
                   ServingCounts counts, Time now,
                   std::vector<PlannedOrder>& orders);
  std::size_t LoadsRunning() const;
  PlannedOrder Give(const PlacedServer& server, const char* action,
                    const ServiceId& service, Time now);

  PlannerLimits limits_;
  std::uint64_t term_ = 0;
  std::uint64_t sequence_ = 0;
  Time started_at_{};
  std::optional<Time> last_load_at_;
  std::map<ServerId, Running> running_;
};

}  // namespace coltsfootfork

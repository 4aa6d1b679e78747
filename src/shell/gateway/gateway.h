#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/gateway/plan_index.h"
#include "shell/gateway/gateway_call.h"
#include "shell/gateway/gateway_context.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// An entry's way from callers straight to backend servers: it answers each
// request under the routing plan in force, with the servers that the directory
// names.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io, const CallProtocol& protocol,
          GatewayOptions options, std::uint64_t seed);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Calls under way keep the plan that they began under.
  void SetPlan(std::shared_ptr<const RoutingPlan> plan);
  PlanVersion plan_version() const { return context_.plan->plan().version; }
  const PlanLimits& limits() const { return context_.plan->plan().limits; }

  void ApplyDirectory(const ServerDirectory& directory, Time now);
  // What the other entries' calls take of the servers, and what they want
  // beyond it.
  void SetOtherEntriesUsage(FleetLoad others, FleetDemand demand, Time now);
  void SetEntryCount(std::uint32_t entries) { context_.entries = entries; }
  FleetLoad OwnLoad() const { return context_.balancer.OwnLoad(); }
  FleetDemand OwnDemand(Time now) const {
    return context_.headroom.OwnDemand(now);
  }

  // `handler` hears which incarnation of a server has said, in an answer, that
  // it leaves.
  void OnDrainNotice(
      std::function<void(const ServerId& server, std::uint64_t incarnation)>
          handler) {
    context_.on_leaving = std::move(handler);
  }

  // From now on new streams that may not run twice are refused: they last as
  // long as a process has to stop, and would be cut.
  void BeginShutdown() { context_.stopping = true; }

  void OnRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange);

  std::size_t open_calls() const { return calls_.size(); }
  GatewayMetrics& metrics() { return context_.metrics; }
  std::string MetricsText();

 private:
  // The server leaves: its streams go on elsewhere, each in its turn.
  void OnServerLeaving(const ServerId& server, Time now);
  // Lets waiting calls in where there is room, and ends those that have waited
  // long enough.
  void ServeWaiting(Time now);
  void StartWaitTimer();
  // Lets the calls go on that were held until the entry knows enough.
  void ResumeHeld(Time now);

  GatewayContext context_;
  std::map<std::uint64_t, std::shared_ptr<GatewayCall>> calls_;
  std::uint64_t next_call_ = 1;
  boost::asio::steady_timer wait_timer_;
  bool wait_timer_set_ = false;
  // Servers whose leaving the calls know of.
  std::set<ServerId> leaving_;
};

}  // namespace coltsfootfork

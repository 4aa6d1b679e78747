#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "coltsfootfork/core/fleet/performance_exchange.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/zone_evacuations.h"
#include "coltsfootfork/core/gateway/evacuation_schedule.h"
#include "coltsfootfork/core/gateway/plan_index.h"
#include "shell/gateway/gateway_call.h"
#include "shell/gateway/gateway_context.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// The gateway of an entry: dispatches callers' requests to backend servers,
// according to the routing plan in force and the directory of servers.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io, const CallProtocol& protocol,
          GatewayOptions options, std::uint64_t seed);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Calls in flight keep the plan that they were admitted under.
  void SetPlan(std::shared_ptr<const RoutingPlan> plan);
  PlanVersion plan_version() const { return context_.plan->plan().version; }
  const PlanLimits& limits() const { return context_.plan->plan().limits; }

  void ApplyDirectory(const ServerDirectory& directory, Time now);
  // Puts evacuations in force: no new call is dispatched to the zones' servers,
  // and running streams migrate out while other engines have capacity.
  void SetEvacuatedZones(const EvacuatedZones& evacuated, Time now);
  // Replaces the load that the other entries' calls put on the servers, and the
  // demand of their queued and expected calls.
  void SetOtherEntriesUsage(FleetLoad others, FleetDemand demand, Time now);
  void SetEntryCount(std::uint32_t count, Time now) {
    context_.entry_count = count;
    context_.balancer.SetEntryCount(count, now);
    context_.server_requests->SetEntryCount(context_.balancer.entry_count());
  }
  FleetLoad OwnLoad() const { return context_.balancer.OwnLoad(); }
  FleetDemand OwnDemand(Time now) const {
    return context_.headroom.OwnDemand(now);
  }

  // What this entry knows of crashed engines, and what other processes know.
  const CrashLedger& crash_ledger() const {
    return context_.quarantine.ledger();
  }
  void MergeCrashes(const EncodedCrashes& crashes, Time now) {
    context_.quarantine.Merge(crashes, now);
  }

  // Returns what is to be reported to control of the servers' performance, and
  // applies what control published.
  PerformanceSums TakePerformance() {
    return TakeReport(context_.pauses, context_.latencies,
                      context_.entry_count);
  }
  void SetPerformance(const PerformanceChanges& changes, Time now) {
    context_.balancer.SetPerformance(changes.pauses, now);
    context_.balancer.SetLatencies(changes.latencies);
  }

  // Sets the handler of drain notices that servers send in responses.
  void OnDrainNotice(
      std::function<void(const ServerId& server, std::uint64_t incarnation)>
          handler) {
    context_.on_drain_notice = std::move(handler);
  }

  // From now on, refuses calls whose timeout is later than `deadline`, also the
  // queued ones: the end of the process could cut them off. Calls that have
  // been dispatched continue.
  void BeginShutdown(Time deadline);
  // Responds to all calls whose response has not started.
  void EndUnansweredCalls();

  void OnRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange);

  // The budget of the bytes that are held for calls. The connections of callers
  // are to share it.
  const std::shared_ptr<HeldBytesBudget>& held_bytes() const {
    return context_.held_bytes;
  }
  std::size_t open_calls() const { return calls_.size(); }
  GatewayMetrics& metrics() { return context_.metrics; }
  std::string MetricsText();

 private:
  // Schedules the migration of the server's streams.
  void OnServerDraining(const ServerId& server, Time now);
  // Dispatches queued calls for which servers have capacity, and handles those
  // whose queueing time has expired.
  void DispatchQueuedCalls(Time now);
  void StartQueueTimer();
  // Starts migrations out of evacuated zones as the schedule allows.
  void MigrateFromEvacuatedZones();
  // Resumes the calls that are held while the entry lacks a plan or servers.
  void ResumeHeldCalls(Time now);

  GatewayContext context_;
  std::map<std::uint64_t, std::shared_ptr<GatewayCall>> calls_;
  std::uint64_t next_call_number_ = 1;
  boost::asio::steady_timer queue_timer_;
  bool queue_timer_active_ = false;
  // Servers that are not ready any more, and whose draining the calls have
  // handled.
  std::set<ServerId> draining_servers_;
  std::set<ZoneId> evacuated_zones_;
  EvacuationSchedule evacuation_schedule_;
  boost::asio::steady_timer evacuation_timer_;
};

}  // namespace coltsfootfork

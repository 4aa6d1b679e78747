#include "shell/gateway/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coltsfootfork/core/gateway/migration_schedule.h"
#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

// Interval at which queued calls are tried again. Short compared to the time to
// a stream's first event. The timer runs only while calls are queued.
constexpr std::chrono::milliseconds kQueueCheckInterval{30};
// If an engine does not return its list of running calls in time, its streams
// are migrated at once.
constexpr std::chrono::milliseconds kRunningCallsTimeout{200};
// Interval at which the next streams of evacuated zones start to migrate; below
// the duration of most transfers.
constexpr std::chrono::milliseconds kEvacuationStep{50};

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const CallProtocol& protocol,
                 GatewayOptions options, std::uint64_t seed)
    : context_(io, protocol, std::move(options), seed),
      queue_timer_(io),
      evacuation_timer_(io) {}

void Gateway::SetPlan(std::shared_ptr<const RoutingPlan> plan) {
  std::map<ServiceId, double> cold_limits;
  for (const PlanService& service : plan->services) {
    if (service.cold_request_rate > 0) {
      cold_limits[service.name] = service.cold_request_rate;
    }
  }
  const Time now = MonotonicNow();
  context_.balancer.SetColdLimits(std::move(cold_limits), now);
  context_.plan = std::make_shared<const PlanIndex>(std::move(plan));
  ResumeHeldCalls(now);
}

void Gateway::ApplyDirectory(const ServerDirectory& directory, Time now) {
  context_.balancer.ApplyDirectory(directory, now);
  std::vector<ServerId> newly_draining;
  std::set<ServerId> draining;
  for (const auto& [id, entry] : directory.entries()) {
    if (entry.record.state == ServerState::kReady) continue;
    draining.insert(id);
    if (draining_servers_.count(id) == 0) newly_draining.push_back(id);
  }
  draining_servers_ = std::move(draining);
  for (const ServerId& id : newly_draining) {
    context_.pool.CloseIdle(id);
    OnServerDraining(id, now);
  }
  ResumeHeldCalls(now);
}

void Gateway::SetEvacuatedZones(const EvacuatedZones& evacuated, Time now) {
  context_.balancer.SetEvacuatedZones(evacuated.zones, now);
  const std::set<ZoneId> before = std::exchange(
      evacuated_zones_, {evacuated.zones.begin(), evacuated.zones.end()});
  // A final transfer that fails resumes its stream at the source, for which
  // there must be time left.
  const Time until = now + context_.options.evacuation_bound * 2 / 5;
  std::vector<std::uint64_t> streams;
  for (const auto& [number, call] : calls_) {
    const ServerRecord* record = context_.balancer.Find(call->server());
    if (record == nullptr || evacuated_zones_.count(record->zone) == 0 ||
        before.count(record->zone) != 0) {
      continue;
    }
    if (call->PrepareEvacuation(until)) streams.push_back(number);
  }
  Log(LogLevel::kInfo, Event::kEvacuationsInForce,
      {{"revision", std::to_string(evacuated.revision)},
       {"zones", std::to_string(evacuated.zones.size())},
       {"streams", std::to_string(streams.size())}});
  evacuation_schedule_.Add(streams, until);
  MigrateFromEvacuatedZones();
  DispatchQueuedCalls(now);
}

void Gateway::MigrateFromEvacuatedZones() {
  const Time now = MonotonicNow();
  const auto migrating = static_cast<std::size_t>(std::count_if(
      calls_.begin(), calls_.end(),
      [](const auto& call) { return call.second->is_migrating(); }));
  for (const std::uint64_t number : evacuation_schedule_.Next(migrating, now)) {
    const auto call = calls_.find(number);
    if (call == calls_.end()) continue;
    // Copied, since the call may finish and remove itself from the map.
    const std::shared_ptr<GatewayCall> stream = call->second;
    stream->MigrateFromEvacuatedZone(now);
  }
  if (evacuation_schedule_.empty()) return;
  evacuation_timer_.expires_after(kEvacuationStep);
  evacuation_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) MigrateFromEvacuatedZones();
  });
}

void Gateway::ResumeHeldCalls(Time now) {
  // Calls that still lack a plan or servers are held again, in the same order.
  const auto held = std::exchange(context_.held_calls, {});
  for (const auto& weak : held) {
    if (const auto call = weak.lock()) call->Resume(now);
  }
  StartQueueTimer();
}

void Gateway::OnServerDraining(const ServerId& server, Time now) {
  std::vector<std::weak_ptr<GatewayCall>> migrating;
  // Copied, since a call may finish in OnServerDraining and remove itself from
  // the map.
  const auto calls = calls_;
  for (const auto& [number, call] : calls) {
    if (call->OnServerDraining(server, now)) migrating.push_back(call);
  }
  const ServerRecord* record = context_.balancer.Find(server);
  if (migrating.empty() || record == nullptr) return;
  const PlanService* service = context_.plan->FindService(record->service);
  const auto endpoint = ParseEndpoint(record->address);
  if (service == nullptr || !service->engine || !endpoint) return;
  if (context_.balancer.IsBackingOff(server, now)) {
    for (const auto& weak : migrating) {
      const auto call = weak.lock();
      if (call) call->ScheduleMigration(Duration(0), Duration(0));
    }
    return;
  }
  HttpFetch(context_.io, *endpoint, context_.protocol.WriteRunningCallsQuery(),
            kRunningCallsTimeout,
            [this, migrating,
             engine = *service->engine](const HttpFetchResult& result) {
              MigrationSchedule schedule;
              if (result.response) {
                auto runs =
                    context_.protocol.ReadRunningCalls(*result.response);
                if (runs) {
                  schedule = MigrationSchedule(std::move(*runs), engine,
                                               context_.options.precopy);
                }
              }
              for (const auto& weak : migrating) {
                const auto call = weak.lock();
                if (!call) continue;
                call->ScheduleMigration(schedule.CopyStartOf(call->id()),
                                        schedule.StopTimeOf(call->id()));
              }
            });
}

void Gateway::OnRequest(HttpRequest request,
                        std::shared_ptr<HttpExchange> exchange) {
  const Time now = MonotonicNow();
  const std::uint64_t number = next_call_number_++;
  auto call = std::make_shared<GatewayCall>(
      context_, std::move(request), std::move(exchange), now,
      [this, number] { calls_.erase(number); });
  calls_[number] = call;
  call->Start(now);
  StartQueueTimer();
}

void Gateway::BeginShutdown(Time deadline) {
  context_.shutdown_deadline = deadline;
  // Copied, since a refused call removes itself from the map.
  const auto calls = calls_;
  for (const auto& [number, call] : calls) call->OnShutdown();
}

void Gateway::EndUnansweredCalls() {
  const auto calls = calls_;
  for (const auto& [number, call] : calls) call->EndIfUnanswered();
}

void Gateway::SetOtherEntriesUsage(FleetLoad others, FleetDemand demand,
                                   Time now) {
  context_.balancer.SetOtherEntriesLoad(std::move(others));
  context_.headroom.SetOtherEntriesDemand(std::move(demand));
  DispatchQueuedCalls(now);
}

void Gateway::DispatchQueuedCalls(Time now) {
  const auto find_call = [this](AdmissionQueue::Ticket ticket) {
    const auto found = context_.queued_calls.find(ticket);
    if (found == context_.queued_calls.end()) {
      return std::shared_ptr<GatewayCall>();
    }
    return found->second.lock();
  };
  context_.admission_queue.DispatchQueued(
      [&](AdmissionQueue::Ticket ticket) {
        const auto call = find_call(ticket);
        if (call && !call->TryDispatchQueued(now)) return false;
        context_.queued_calls.erase(ticket);
        return true;
      },
      now);
  while (const auto ticket = context_.admission_queue.PopExpired(now)) {
    const auto call = find_call(*ticket);
    context_.queued_calls.erase(*ticket);
    if (call) call->OnQueueWaitExpired();
  }
}

void Gateway::StartQueueTimer() {
  if (queue_timer_active_ || context_.admission_queue.size() == 0) return;
  queue_timer_active_ = true;
  queue_timer_.expires_after(kQueueCheckInterval);
  queue_timer_.async_wait([this](boost::system::error_code error) {
    queue_timer_active_ = false;
    if (error) return;
    DispatchQueuedCalls(MonotonicNow());
    StartQueueTimer();
  });
}

std::string Gateway::MetricsText() {
  context_.metrics.Set("gateway_waiting_calls",
                       context_.admission_queue.size());

  context_.metrics.Set("gateway_plan_version", plan_version());
  context_.metrics.Set("gateway_open_calls", calls_.size());
  context_.metrics.Set("gateway_server_connections",
                       context_.pool.open_connections());
  context_.metrics.Set("gateway_quarantined_parts",
                       context_.quarantine.Size(MonotonicNow()));
  context_.metrics.Set("gateway_entries", context_.entry_count);
  context_.metrics.Set("gateway_evacuated_zones", evacuated_zones_.size());
  context_.metrics.Set("gateway_held_answer_bytes",
                       context_.response_buffers.bytes());
  const HeldBytesBudget& held = *context_.held_bytes;
  context_.metrics.Set("gateway_held_request_bytes",
                       held.bytes(HeldBytesPurpose::kRequest));
  context_.metrics.Set("gateway_held_response_bytes",
                       held.bytes(HeldBytesPurpose::kResponse));
  context_.metrics.Set("gateway_held_delivery_bytes",
                       held.bytes(HeldBytesPurpose::kDelivery));
  context_.metrics.Set("gateway_held_bytes_limit", held.limit());
  context_.metrics.Set("gateway_server_request_bytes",
                       context_.server_requests->max_bytes());
  context_.metrics.Set("gateway_server_request_share",
                       context_.server_requests->share());
  context_.metrics.Set("gateway_slow_servers", context_.balancer.SlowServers());
  context_.metrics.Set("gateway_slow_prefill_servers",
                       context_.balancer.SlowPrefillServers());
  context_.metrics.Set("gateway_late_pause_servers",
                       context_.balancer.LatePauseServers());
  return context_.metrics.ToText();
}

}  // namespace coltsfootfork

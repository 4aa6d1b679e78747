#include "shell/gateway/gateway.h"

#include <utility>
#include <vector>

#include "coltsfootfork/core/gateway/migration_schedule.h"
#include "shell/clock/monotonic_now.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

// How often waiting calls look for room: short against the time to a first
// event, and nothing while nobody waits.
constexpr std::chrono::milliseconds kServeWaiting{30};
// Without an engine's list in time its streams are moved at once.
constexpr std::chrono::milliseconds kRunsTimeout{200};

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const CallProtocol& protocol,
                 GatewayOptions options, std::uint64_t seed)
    : context_(io, protocol, std::move(options), seed), wait_timer_(io) {}

void Gateway::SetPlan(std::shared_ptr<const RoutingPlan> plan) {
  context_.plan = std::make_shared<const PlanIndex>(std::move(plan));
  ResumeHeld(MonotonicNow());
}

void Gateway::ApplyDirectory(const ServerDirectory& directory, Time now) {
  context_.balancer.ApplyDirectory(directory, now);
  std::vector<ServerId> left;
  std::set<ServerId> leaving;
  for (const auto& [id, entry] : directory.entries()) {
    if (entry.record.state == ServerState::kReady) continue;
    leaving.insert(id);
    if (leaving_.count(id) == 0) left.push_back(id);
  }
  leaving_ = std::move(leaving);
  for (const ServerId& id : left) {
    context_.pool.Drop(id);
    OnServerLeaving(id, now);
  }
  ResumeHeld(now);
}

void Gateway::ResumeHeld(Time now) {
  // Those that still lack something are held again, in the same order.
  const auto held = std::exchange(context_.held_calls, {});
  for (const auto& weak : held) {
    if (const auto call = weak.lock()) call->Resume(now);
  }
  StartWaitTimer();
}

void Gateway::OnServerLeaving(const ServerId& server, Time now) {
  std::vector<std::weak_ptr<GatewayCall>> moving;
  // A call may end, and leave the table, while it is told.
  const auto calls = calls_;
  for (const auto& [number, call] : calls) {
    if (call->OnServerLeaving(server, now)) moving.push_back(call);
  }
  const ServerRecord* record = context_.balancer.Find(server);
  if (moving.empty() || record == nullptr) return;
  const PlanService* service = context_.plan->FindService(record->service);
  const auto endpoint = ParseEndpoint(record->address);
  if (service == nullptr || !service->engine || !endpoint) return;
  if (context_.balancer.IsBackingOff(server, now)) {
    for (const auto& weak : moving) {
      const auto call = weak.lock();
      if (call) call->MoveAfter(Duration(0), Duration(0));
    }
    return;
  }
  HttpFetch(
      context_.io, *endpoint, context_.protocol.WriteRunningCallsQuery(),
      kRunsTimeout,
      [this, moving, engine = *service->engine](const HttpFetchResult& result) {
        MigrationSchedule schedule;
        if (result.response) {
          auto runs = context_.protocol.ReadRunningCalls(*result.response);
          if (runs) schedule = MigrationSchedule(std::move(*runs), engine);
        }
        for (const auto& weak : moving) {
          const auto call = weak.lock();
          if (!call) continue;
          call->MoveAfter(schedule.CopyStartOf(call->id()),
                          schedule.StopTimeOf(call->id()));
        }
      });
}

void Gateway::OnRequest(HttpRequest request,
                        std::shared_ptr<HttpExchange> exchange) {
  const Time now = MonotonicNow();
  const std::uint64_t number = next_call_++;
  auto call = std::make_shared<GatewayCall>(
      context_, std::move(request), std::move(exchange), now,
      [this, number] { calls_.erase(number); });
  calls_[number] = call;
  call->Start(now);
  StartWaitTimer();
}

void Gateway::SetOtherEntriesUsage(FleetLoad others, FleetDemand demand,
                                   Time now) {
  context_.balancer.SetOtherEntriesLoad(std::move(others));
  context_.headroom.SetOtherEntriesDemand(std::move(demand));
  ServeWaiting(now);
}

void Gateway::ServeWaiting(Time now) {
  const auto call_of = [this](AdmissionQueue::Ticket ticket) {
    const auto found = context_.waiting_calls.find(ticket);
    if (found == context_.waiting_calls.end()) {
      return std::shared_ptr<GatewayCall>();
    }
    return found->second.lock();
  };
  context_.admission_queue.DispatchQueued(
      [&](AdmissionQueue::Ticket ticket) {
        const auto call = call_of(ticket);
        if (call && !call->TryFromWaiting(now)) return false;
        context_.waiting_calls.erase(ticket);
        return true;
      },
      now);
  while (const auto ticket = context_.admission_queue.PopExpired(now)) {
    const auto call = call_of(*ticket);
    context_.waiting_calls.erase(*ticket);
    if (call) call->OnWaitedInVain();
  }
}

void Gateway::StartWaitTimer() {
  if (wait_timer_set_ || context_.admission_queue.size() == 0) return;
  wait_timer_set_ = true;
  wait_timer_.expires_after(kServeWaiting);
  wait_timer_.async_wait([this](boost::system::error_code error) {
    wait_timer_set_ = false;
    if (error) return;
    ServeWaiting(MonotonicNow());
    StartWaitTimer();
  });
}

std::string Gateway::MetricsText() {
  context_.metrics.Set("gateway_waiting_calls",
                       context_.admission_queue.size());

  context_.metrics.Set("gateway_plan_version", plan_version());
  context_.metrics.Set("gateway_open_calls", calls_.size());
  context_.metrics.Set("gateway_server_connections",
                       context_.pool.open_connections());
  context_.metrics.Set("gateway_entries", context_.entries);
  context_.metrics.Set("gateway_held_answer_bytes",
                       context_.response_buffers.bytes());
  return context_.metrics.ToText();
}

}  // namespace coltsfootfork

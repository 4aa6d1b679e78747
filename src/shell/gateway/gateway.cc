#include "shell/gateway/gateway.h"

#include <utility>
#include <vector>

#include "shell/clock/monotonic_now.h"

namespace coltsfootfork {

Gateway::Gateway(boost::asio::io_context& io, const CallProtocol& protocol,
                 GatewayOptions options, std::uint64_t seed)
    : context_(io, protocol, std::move(options), seed) {}

void Gateway::SetPlan(std::shared_ptr<const RoutingPlan> plan) {
  context_.plan = PlanIndex(std::move(plan));
}

void Gateway::FollowServers(const ServerDirectory& directory, Time now) {
  context_.board.Follow(directory, now);
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
    // A call may end, and leave the table, while it is told.
    const auto calls = calls_;
    for (const auto& [number, call] : calls) call->OnServerLeaving(id, now);
  }
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
}

std::string Gateway::MetricsText() {
  context_.metrics.Set("gateway_plan_version", plan_version());
  context_.metrics.Set("gateway_open_calls", calls_.size());
  context_.metrics.Set("gateway_server_connections",
                       context_.pool.open_connections());
  context_.metrics.Set("gateway_entries", context_.entries);
  return context_.metrics.ToText();
}

}  // namespace coltsfootfork

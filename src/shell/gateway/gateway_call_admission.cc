#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/gateway_call.h"

// The part of GatewayCall that admits a call: its route, workspace, service and
// rank, and the wait for room.
namespace coltsfootfork {
namespace {

// Without ranks, none is the most urgent.
constexpr std::uint32_t kRankOfAll = 1;
// Of a caller that does not say how long it waits, before its route is known.
constexpr std::chrono::milliseconds kPatienceUntold{4000};

}  // namespace

std::optional<GatewayCall::Refusal> GatewayCall::FindRoute() {
  if (plan_->plan().version == 0) {
    return Refusal{CallOutcome::kNoPlan, 503, kRetryAfterNoPlan};
  }
  route_ = plan_->FindRoute(request_.Field("Host"), request_.target);
  if (route_ == nullptr) {
    return Refusal{CallOutcome::kNoRoute, 404, std::nullopt};
  }
  rank_ = RankFor(nullptr);
  if (route_->is_public || !plan_->plan().needs_keys) {
    return RefusalOfStopping();
  }
  workspace_ = plan_->FindWorkspace(head_.api_key);
  if (workspace_ == nullptr) {
    return Refusal{CallOutcome::kUnknownKey, 401, std::nullopt};
  }
  rank_ = RankFor(workspace_);
  return RefusalOfStopping();
}

std::optional<GatewayCall::Refusal> GatewayCall::RefusalOfStopping() const {
  const bool outlasts =
      route_->kind == CallKind::kStreaming && !route_->IsSafeToRetry();
  if (!context_.stopping || !outlasts) return std::nullopt;
  return Refusal{CallOutcome::kStopping, 503, kRetryAfterStopping};
}

std::uint32_t GatewayCall::RankFor(const PlanWorkspace* workspace) const {
  if (!context_.options.use_ranks) return kRankOfAll;
  return plan_->RankOf(*route_, workspace);
}

void GatewayCall::ChooseService() {
  std::vector<double> weights;
  for (const WeightedService& one : route_->services) {
    weights.push_back(one.weight);
  }
  std::discrete_distribution<std::size_t> lot(weights.begin(), weights.end());
  service_ = plan_->FindService(route_->services[lot(context_.random)].service);
  if (!service_->engine) return;
  tokens_ = head_.prompt_tokens + context_.output_lengths.Predict(
                                      route_->name, head_.max_output_tokens,
                                      head_.expected_output_tokens);
}

bool GatewayCall::Hold(Time now) {
  if (!held_until_) {
    held_until_ =
        arrived_ +
        StartupHoldFor(context_.options.startup_hold,
                       arrived_ - context_.started,
                       head_.caller_timeout.value_or(kPatienceUntold));
  }
  if (now >= *held_until_) return false;
  held_ = true;
  context_.held_calls.push_back(weak_from_this());
  move_timer_.expires_after(*held_until_ - now);
  move_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) self->Resume(MonotonicNow());
      });
  return true;
}

void GatewayCall::Resume(Time now) {
  if (over_ || !std::exchange(held_, false)) return;
  move_timer_.cancel();
  // One that has its route keeps the plan that it is of.
  if (route_ != nullptr) return SendToBest(now);
  plan_ = context_.plan;
  Admit(now);
}

Time GatewayCall::InTimeUntil() const {
  return arrived_ - age_ + MaxQueueWait(rank_, route_->latency_goal);
}

std::uint32_t GatewayCall::Standing(Time now) const {
  return 2 * rank_ + (now >= InTimeUntil() ? 1 : 0);
}

ServerQuery GatewayCall::QueryForServer(Time now) const {
  ServerQuery query;
  query.service = service_->name;
  query.engine = service_->engine ? &*service_->engine : nullptr;
  query.tokens = tokens_;
  query.excluded = tried_;
  query.max_fill = MaxFillForRank(rank_);
  if (query.engine == nullptr) return query;
  query.headroom_share = context_.headroom.ShareFor(
      service_->name, Standing(now), ticket_ ? 0 : tokens_, now);
  return query;
}

void GatewayCall::AwaitRoom(Time now) {
  AdmissionQueue::Window window;
  window.on_time_until = InTimeUntil();
  window.expires_at =
      std::min(arrived_ + MaxQueueWait(rank_, route_->latency_goal), deadline_);
  ticket_ =
      context_.admission_queue.Enqueue(service_->name, rank_, window, now);
  context_.waiting_calls[*ticket_] = weak_from_this();
  waiting_standing_ = Standing(now);
  context_.headroom.OnQueued(service_->name, waiting_standing_, tokens_);
}

bool GatewayCall::TryFromWaiting(Time now) {
  const auto choice = context_.balancer.Pick(QueryForServer(now), now);
  if (!choice) {
    // Who waits for servers that ask for time waits in vain.
    const auto pause = PauseLeft(now);
    if (!pause) return false;
    Refuse({CallOutcome::kServersBackingOff, 503, pause});
    return true;
  }
  if (!choice->fits) return false;
  LeaveWaiting();
  SendTo(*choice, now);
  return true;
}

void GatewayCall::LeaveWaiting() {
  if (!ticket_) return;
  context_.admission_queue.Remove(*ticket_);
  context_.waiting_calls.erase(*ticket_);
  context_.headroom.OnDequeued(service_->name, waiting_standing_, tokens_);
  ticket_.reset();
}

void GatewayCall::OnWaitedInVain() {
  LeaveWaiting();
  const Time now = MonotonicNow();
  const auto choice = context_.balancer.Pick(QueryForServer(now), now);
  // The most urgent go first: the engine preempts others for them.
  if (choice && rank_ == 0) return SendTo(*choice, now);
  Refuse({CallOutcome::kNoCapacity, 503,
          RetryAfterNoCapacity(patience_end_ - now)});
}

std::optional<std::chrono::milliseconds> GatewayCall::PauseLeft(
    Time now) const {
  // Who comes back may be sent to any server.
  ServerQuery query;
  query.service = service_->name;
  const auto until = context_.balancer.EarliestBackoffEnd(query, now);
  if (!until) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(*until - now);
}

}  // namespace coltsfootfork

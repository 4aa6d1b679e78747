#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/gateway_call.h"
#include "shell/log/event.h"

// Admission of a GatewayCall: its route, workspace, service and rank, and the
// admission queue.
namespace coltsfootfork {
namespace {

// Rank of all calls if ranks are disabled. Not 0, since the most urgent calls
// are treated specially.
constexpr std::uint32_t kSingleRank = 1;
// Timeout of a caller that states none, while the route is unknown.
constexpr std::chrono::milliseconds kDefaultCallerTimeout{4000};

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
  if (route_->is_public || !plan_->plan().needs_keys) return std::nullopt;
  workspace_ = plan_->FindWorkspace(head_.api_key);
  if (workspace_ == nullptr) {
    return Refusal{CallOutcome::kUnknownKey, 401, std::nullopt};
  }
  rank_ = RankFor(workspace_);
  return std::nullopt;
}

bool GatewayCall::RefuseIfOutlastsShutdown() {
  // A held call that has no route yet is checked when it gets one.
  const bool has_run = may_have_run_ || response_started_;
  if (!context_.shutdown_deadline || route_ == nullptr || has_run ||
      deadline_ <= *context_.shutdown_deadline) {
    return false;
  }
  Refuse({CallOutcome::kStopping, 503, kRetryAfterStopping});
  return true;
}

std::uint32_t GatewayCall::RankFor(const PlanWorkspace* workspace) const {
  if (!context_.options.use_ranks) return kSingleRank;
  return plan_->RankOf(*route_, workspace);
}

void GatewayCall::ChooseService() {
  std::vector<double> weights;
  for (const WeightedService& weighted : route_->services) {
    weights.push_back(weighted.weight);
  }
  std::discrete_distribution<std::size_t> distribution(weights.begin(),
                                                       weights.end());
  service_ = plan_->FindService(
      route_->services[distribution(context_.random)].service);
  if (!service_->engine) return;
  predicted_tokens_ =
      head_.prompt_tokens +
      context_.output_lengths.Predict(route_->name, head_.max_output_tokens,
                                      head_.expected_output_tokens);
  for (const std::string& part : head_.shared_parts) {
    prompt_parts_.push_back(PartKeyOf(service_->name, part));
  }
}

bool GatewayCall::RefuseIfQuarantined(Time now) {
  const auto verdict = context_.quarantine.FindQuarantined(prompt_parts_, now);
  if (!verdict) return false;
  std::vector<std::string> parts;
  for (const std::size_t i : verdict->parts) {
    parts.push_back(head_.shared_parts[i]);
  }
  const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(verdict->remaining);
  Log(LogLevel::kInfo, Event::kPromptPartRefused,
      {{"id", head_.id.value()},
       {"parts", boost::algorithm::join(parts, ",")},
       {"service", service_->name.value()},
       {"crashes", std::to_string(verdict->crashes)},
       {"remaining_ms", std::to_string(remaining.count())}});
  Refuse({CallOutcome::kQuarantined, 503, remaining});
  return true;
}

bool GatewayCall::Hold(Time now) {
  if (!held_until_) {
    held_until_ =
        arrived_at_ +
        StartupHoldFor(context_.options.startup_hold,
                       arrived_at_ - context_.started_at,
                       head_.caller_timeout.value_or(kDefaultCallerTimeout));
  }
  if (now >= *held_until_) return false;
  held_ = true;
  context_.held_calls.push_back(weak_from_this());
  delay_timer_.expires_after(*held_until_ - now);
  delay_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) self->Resume(MonotonicNow());
      });
  return true;
}

void GatewayCall::Resume(Time now) {
  if (finished_ || !std::exchange(held_, false)) return;
  delay_timer_.cancel();
  // A call that has a route keeps the plan that the route belongs to.
  if (route_ != nullptr) {
    if (!RefuseIfQuarantined(now)) DispatchToBestServer(now);
    return;
  }
  plan_ = context_.plan;
  Admit(now);
}

Time GatewayCall::OnTimeUntil() const {
  return arrived_at_ - retry_age_ + MaxQueueWait(rank_, route_->latency_goal);
}

std::uint32_t GatewayCall::HeadroomRank(Time now) const {
  return 2 * rank_ + (now >= OnTimeUntil() ? 1 : 0);
}

AllowedRegions GatewayCall::RegionsOfCall() const {
  return CombineRegions(route_->permitted_regions,
                        workspace_ != nullptr ? workspace_->permitted_regions
                                              : std::vector<RegionId>());
}

ServerQuery GatewayCall::MakeServerQuery(Time now) const {
  ServerQuery query;
  query.service = service_->name;
  query.engine = service_->engine ? &*service_->engine : nullptr;
  query.tokens = predicted_tokens_;
  query.excluded = context_.server_requests->FullServers(request_bytes_);
  query.excluded.insert(tried_servers_.begin(), tried_servers_.end());
  query.max_fill = MaxFillForRank(rank_);
  query.permitted_regions = RegionsOfCall();
  if (query.engine == nullptr) return query;
  query.has_pause_goal = route_->pause_goal.count() > 0;
  query.predicted_events =
      (predicted_tokens_ - std::min(predicted_tokens_, head_.prompt_tokens)) /
      std::max<std::uint32_t>(query.engine->tokens_per_event, 1);
  query.headroom_share =
      context_.headroom.ShareFor(service_->name, HeadroomRank(now),
                                 queue_ticket_ ? 0 : predicted_tokens_, now);
  return query;
}

void GatewayCall::EnqueueForAdmission(Time now) {
  AdmissionQueue::Window window;
  window.on_time_until = OnTimeUntil();
  window.expires_at = std::min(
      arrived_at_ + MaxQueueWait(rank_, route_->latency_goal), deadline_);
  queue_ticket_ =
      context_.admission_queue.Enqueue(service_->name, rank_, window, now);
  context_.queued_calls[*queue_ticket_] = weak_from_this();
  queued_headroom_rank_ = HeadroomRank(now);
  context_.headroom.OnQueued(service_->name, queued_headroom_rank_,
                             predicted_tokens_);
}

bool GatewayCall::TryDispatchQueued(Time now) {
  if (RefuseIfQuarantined(now)) return true;
  const ServerQuery query = MakeServerQuery(now);
  const auto choice = context_.balancer.Pick(query, now);
  if (!choice) {
    if (RefuseIfServersFull(query, now)) return true;
    if (RefuseIfRestricted(query)) return true;
    // Queueing does not help while all servers are backing off.
    const auto backoff = RemainingBackoff(now);
    if (!backoff) return false;
    Refuse({CallOutcome::kServersBackingOff, 503, backoff});
    return true;
  }
  if (!choice->fits) return false;
  LeaveAdmissionQueue();
  DispatchTo(*choice, now);
  return true;
}

void GatewayCall::LeaveAdmissionQueue() {
  if (!queue_ticket_) return;
  context_.admission_queue.Remove(*queue_ticket_);
  context_.queued_calls.erase(*queue_ticket_);
  context_.headroom.OnDequeued(service_->name, queued_headroom_rank_,
                               predicted_tokens_);
  queue_ticket_.reset();
}

void GatewayCall::OnQueueWaitExpired() {
  LeaveAdmissionQueue();
  const Time now = MonotonicNow();
  if (RefuseIfQuarantined(now)) return;
  const ServerQuery query = MakeServerQuery(now);
  const auto choice = context_.balancer.Pick(query, now);
  if (!choice && RefuseIfServersFull(query, now)) return;
  // A call of the most urgent rank is dispatched anyway: the engine preempts
  // other calls for it.
  if (choice && rank_ == 0) return DispatchTo(*choice, now);
  Refuse({CallOutcome::kNoCapacity, 503,
          RetryAfterNoCapacity(caller_deadline_ - now)});
}

bool GatewayCall::RefuseIfRestricted(const ServerQuery& query) {
  if (!context_.balancer.IsRestrictedToNoServer(query)) return false;
  Refuse({CallOutcome::kServersRestricted, 503, kRetryAfterRestricted});
  return true;
}

bool GatewayCall::RefuseIfServersFull(const ServerQuery& query, Time now) {
  ServerQuery untried = query;
  untried.excluded = tried_servers_;
  const bool are_full = untried.excluded.size() < query.excluded.size() &&
                        !context_.balancer.CanServe(query, now) &&
                        context_.balancer.CanServe(untried, now);
  if (!are_full) return false;
  Refuse({CallOutcome::kServersFull, 503, kRetryAfterServersFull});
  return true;
}

std::optional<std::chrono::milliseconds> GatewayCall::RemainingBackoff(
    Time now) const {
  // A retry may be dispatched to any server, also to those already tried.
  ServerQuery query;
  query.service = service_->name;
  query.permitted_regions = RegionsOfCall();
  const auto backoff_end = context_.balancer.EarliestBackoffEnd(query, now);
  if (!backoff_end) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(*backoff_end - now);
}

}  // namespace coltsfootfork

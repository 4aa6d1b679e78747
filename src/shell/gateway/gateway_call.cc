#include "shell/gateway/gateway_call.h"

#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/refusal_response.h"
#include "shell/log/event.h"
#include "shell/net/message_serializer.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// A connection that has been idle for longer may already be closed by the
// server. Calls that are not safe to retry use a new connection instead.
constexpr milliseconds kMaxIdleTimeForUnsafeCalls{1000};

constexpr int kGatewayTimeout = 504;

milliseconds AsMilliseconds(Duration duration) {
  return milliseconds(ToMilliseconds(duration));
}

const char* AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNeverSent:
      return "no_connection";
    case AttemptResult::kNotRun:
      return "not_run";
    case AttemptResult::kServerError:
      return "server_error";
    case AttemptResult::kIncompleteResponse:
      return "broken";
  }
  return "unknown";
}

const char* ExchangeEndName(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kComplete:
      return "complete";
    case ExchangeEnd::kClosed:
      return "closed";
    case ExchangeEnd::kBroken:
      return "broken";
    case ExchangeEnd::kMalformed:
      return "malformed";
    case ExchangeEnd::kOversized:
      return "oversized";
  }
  return "unknown";
}

// Returns the bytes of the request's head and body.
std::size_t HeldSize(const HttpRequest& request) {
  std::size_t bytes = request.target.size() + request.body.size();
  for (const HttpField& field : request.fields) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

GatewayCounter RetryCounter(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNeverSent:
      return GatewayCounter::kRetriedAfterNoConnection;
    case AttemptResult::kNotRun:
      return GatewayCounter::kRetriedAfterNotRun;
    case AttemptResult::kServerError:
      return GatewayCounter::kRetriedAfterServerError;
    case AttemptResult::kIncompleteResponse:
      break;
  }
  return GatewayCounter::kRetriedAfterIncompleteResponse;
}

}  // namespace

GatewayCall::GatewayCall(GatewayContext& context, HttpRequest request,
                         std::shared_ptr<HttpExchange> exchange, Time now,
                         std::function<void()> on_finished)
    : context_(context),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      on_finished_(std::move(on_finished)),
      deadline_timer_(context.io),
      delay_timer_(context.io),
      arrived_at_(now),
      plan_(context.plan),
      held_request_(context.held_bytes, HeldBytesPurpose::kRequest),
      held_response_(context.held_bytes, HeldBytesPurpose::kResponse),
      pacer_(context.options.max_read_pause),
      pace_timer_(context.io) {}

void GatewayCall::Start(Time now) {
  head_ = context_.protocol.ReadCallHead(request_);
  exchange_->OnCallerDisconnected([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
  request_bytes_ = HeldSize(request_);
  if (!context_.held_bytes->AdmitsRequest(request_bytes_)) {
    return Refuse({CallOutcome::kNoMemory, 503, kRetryAfterNoMemory});
  }
  held_request_.Set(request_bytes_);
  Admit(now);
}

void GatewayCall::Admit(Time now) {
  if (const auto refusal = FindRoute()) {
    if (refusal->outcome == CallOutcome::kNoPlan && Hold(now)) return;
    return Refuse(*refusal);
  }
  ChooseService();
  if (RefuseIfQuarantined(now)) return;
  StartDeadlineTimer(now);
  if (RefuseIfOutlastsShutdown()) return;
  context_.budget.CountFirstAttempt(service_->name, now);
  if (service_->engine) {
    context_.headroom.OnArrival(service_->name, HeadroomRank(now),
                                predicted_tokens_, now);
  }
  DispatchToBestServer(now);
}

void GatewayCall::StartDeadlineTimer(Time now) {
  const milliseconds caller_timeout =
      head_.caller_timeout.value_or(route_->timeout);
  retry_age_ = context_.retry_age.EstimateAge(route_->name, caller_timeout);
  caller_deadline_ = arrived_at_ + caller_timeout;
  deadline_ = arrived_at_ + std::min(caller_timeout, route_->timeout);
  deadline_timer_.expires_after(deadline_ - now);
  deadline_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) self->OnDeadline();
      });
}

void GatewayCall::DispatchToBestServer(Time now) {
  if (RefuseIfOutlastsShutdown()) return;
  const ServerQuery query = MakeServerQuery(now);
  const auto choice = context_.balancer.Pick(query, now);
  if (!choice) {
    if (attempts_ > 0 || may_have_run_) {
      return OnAttemptFailed(AttemptResult::kNeverSent, now);
    }
    if (RefuseIfServersFull(query, now)) return;
    if (RefuseIfRestricted(query)) return;
    if (const auto backoff = RemainingBackoff(now)) {
      return Refuse({CallOutcome::kServersBackingOff, 503, backoff});
    }
    if (Hold(now)) return;
    return Refuse({CallOutcome::kNoServer, 503, kRetryAfterRefusal});
  }
  const bool would_be_first =
      context_.admission_queue.WouldBeFirst(service_->name, rank_);
  const bool may_queue = service_->engine && attempts_ == 0;
  if (may_queue && (!choice->fits || !would_be_first)) {
    return EnqueueForAdmission(now);
  }
  DispatchTo(*choice, now);
}

void GatewayCall::DispatchTo(const ServerChoice& choice, Time now) {
  if (first_dispatched_at_ == Time()) first_dispatched_at_ = now;
  response_began_at_ = Time();
  attempt_ =
      std::make_shared<BackendAttempt>(context_, PlanAttempt(choice, now));
  attempt_->Start(head_.id, now, MakeAttemptEvents(attempt_, std::nullopt));
}

AttemptPlan GatewayCall::PlanAttempt(const ServerChoice& choice, Time now) {
  AttemptPlan plan;
  plan.server = choice.id;
  plan.address = choice.address;
  plan.incarnation = choice.incarnation;
  plan.load = {1, predicted_tokens_, head_.prompt_tokens};
  plan.request_bytes = request_bytes_;
  plan.connection_request.server = choice.id;
  plan.connection_request.address = choice.address;
  plan.connection_request.max_connections = std::max<std::uint32_t>(
      service_->max_connections /
          std::max<std::uint32_t>(context_.entry_count, 1),
      2);
  if (!route_->IsSafeToRetry()) {
    plan.connection_request.max_idle_time = kMaxIdleTimeForUnsafeCalls;
  }
  ChooseBackup(plan, now);
  return plan;
}

std::string GatewayCall::WriteRequest(
    const AttemptPlan& plan, const std::optional<MigrationSource>& source) {
  const Time now = MonotonicNow();
  ForwardHead head;
  head.server = plan.server;
  head.remaining_time =
      std::max(AsMilliseconds(deadline_ - now), milliseconds(1));
  if (workspace_ != nullptr) head.workspace = workspace_->name;
  if (service_->engine) head.rank = rank_;
  head.backup_address = plan.backup_address;
  head.migration_source = source;
  if (last_event_id_) {
    head.last_event_id = std::to_string(*last_event_id_);
  } else {
    head.last_event_id = head_.last_event_id;
  }
  return SerializeRequest(request_,
                          context_.protocol.ForwardFields(request_, head));
}

AttemptEvents GatewayCall::MakeAttemptEvents(
    const std::shared_ptr<BackendAttempt>& attempt,
    std::optional<MigrationSource> source) {
  AttemptEvents events;
  const auto self = shared_from_this();
  events.request = [self, plan = attempt->plan(), source = std::move(source)] {
    // A stream that is resumed from its memory continues the same run.
    if (!source) ++self->attempts_;
    return self->WriteRequest(plan, source);
  };
  events.on_connect_failed = [self] { self->OnConnectFailed(); };
  events.on_head = [self](const HttpResponse& head, const ResponseHead& facts) {
    self->OnHead(head, facts);
  };
  events.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  events.on_end = [self](ExchangeEnd end) { self->OnEnd(end); };
  return events;
}

void GatewayCall::OnConnectFailed() {
  const Time now = MonotonicNow();
  context_.balancer.OnUnreachable(attempt_->plan().server, now);
  OnAttemptFailed(AttemptResult::kNeverSent, now);
}

AttemptHistory GatewayCall::HistoryAt(Time now) {
  AttemptHistory history;
  history.safe_to_retry = route_->IsSafeToRetry();
  history.attempts = attempts_;
  history.max_attempts = route_->max_attempts;
  history.may_have_run = may_have_run_;
  history.response_started = response_started_;
  history.deadline = deadline_;
  history.budget_allows = context_.budget.AllowsRetry(service_->name, now);
  history.untried_server_available =
      context_.balancer.CanServe(MakeServerQuery(now), now) &&
      !context_.quarantine.IsSuspect(prompt_parts_, now);
  return history;
}

void GatewayCall::OnAttemptFailed(AttemptResult result, Time now) {
  if (attempt_) tried_servers_.insert(attempt_->plan().server);
  if (result == AttemptResult::kServerError ||
      result == AttemptResult::kIncompleteResponse) {
    may_have_run_ = true;
  }
  const AttemptHistory history = HistoryAt(now);
  const auto decision = DecideRetry(history, result, now);
  streaming_ = false;
  if (std::holds_alternative<RetryOnAnotherServer>(decision)) {
    context_.metrics.Count(RetryCounter(result));
    if (attempts_ > 0) context_.budget.CountRetry(service_->name, now);
    Log(LogLevel::kInfo, Event::kCallSentAgain,
        {{"id", head_.id.value()},
         {"server", attempt_ ? attempt_->plan().server.value() : std::string()},
         {"end", AttemptResultName(result)},
         {"status", std::to_string(response_.status)},
         {"sends", std::to_string(attempts_)}});
    attempt_ended_ = false;
    source_stopped_ = false;
    return DispatchToBestServer(now);
  }
  if (!history.budget_allows) {
    context_.metrics.Count(GatewayCounter::kRetryBudgetExhausted);
  }
  if (std::holds_alternative<AbortResponse>(decision)) {
    return AbortStartedResponse(CallOutcome::kResponseAborted);
  }
  if (std::holds_alternative<ForwardServerError>(decision)) {
    return ForwardResponse();
  }
  const auto& refusal = std::get<RespondToCaller>(decision);
  auto retry_after = refusal.retry_after;
  if (retry_after && RefuseIfServersFull(MakeServerQuery(now), now)) return;
  if (retry_after) retry_after = RemainingBackoff(now).value_or(*retry_after);
  Refuse(
      {may_have_run_ ? CallOutcome::kIncompleteResponse : CallOutcome::kNotRun,
       static_cast<int>(refusal.status), retry_after});
}

void GatewayCall::Refuse(const Refusal& refusal) {
  exchange_->Respond(RefusalResponse(
      refusal.status, CallOutcomeName(refusal.outcome), refusal.retry_after));
  Finish(refusal.outcome, refusal.status);
}

void GatewayCall::AbortStartedResponse(CallOutcome outcome) {
  exchange_->AbortStream();
  Finish(outcome, response_.status);
}

bool GatewayCall::MayHaveRun() const {
  return may_have_run_ || (attempt_ && attempt_->is_sent());
}

void GatewayCall::OnDeadline() {
  if (finished_) return;
  if (response_started_) {
    return AbortStartedResponse(CallOutcome::kDeadlineExceeded);
  }
  if (MayHaveRun()) {
    return Refuse({CallOutcome::kDeadlineExceeded, kGatewayTimeout, {}});
  }
  Refuse({CallOutcome::kDeadlineExceeded, 503, kRetryAfterRefusal});
}

void GatewayCall::OnShutdown() {
  if (queue_ticket_ || held_) RefuseIfOutlastsShutdown();
}

void GatewayCall::EndIfUnanswered() {
  if (finished_ || response_started_) return;
  if (MayHaveRun()) {
    return Refuse({CallOutcome::kStopping, kGatewayTimeout, {}});
  }
  Refuse({CallOutcome::kStopping, 503, kRetryAfterStopping});
}

void GatewayCall::OnCallerDisconnected() {
  if (exchange_->is_slow_caller()) {
    return Finish(CallOutcome::kSlowCaller, response_.status);
  }
  Finish(CallOutcome::kCallerDisconnected, 0);
}

void GatewayCall::Finish(CallOutcome outcome, int status) {
  if (finished_) return;
  finished_ = true;
  deadline_timer_.cancel();
  delay_timer_.cancel();
  pace_timer_.cancel();
  const auto self = shared_from_this();
  const Duration latency = MonotonicNow() - arrived_at_;
  context_.metrics.Count(outcome, latency);
  Log(LogLevel::kInfo, Event::kCallEnded,
      {{"id", head_.id.value()},
       {"outcome", CallOutcomeName(outcome)},
       {"status", std::to_string(status)},
       {"route", route_ != nullptr ? route_->name : std::string()},
       {"server", attempt_ ? attempt_->plan().server.value() : std::string()},
       {"sends", std::to_string(attempts_)},
       {"carried", std::to_string(migrations_)},
       {"ms", std::to_string(ToMilliseconds(latency))},
       {"rank", std::to_string(rank_)},
       {"waited_ms", first_dispatched_at_ == Time()
                         ? std::string()
                         : std::to_string(ToMilliseconds(first_dispatched_at_ -
                                                         arrived_at_))},
       {"first_ms",
        first_event_at_ == Time()
            ? std::string()
            : std::to_string(ToMilliseconds(first_event_at_ - arrived_at_))},
       {"pause_ms", std::to_string(ToMilliseconds(longest_pause_))},
       {"event", std::to_string(last_event_id_.value_or(0))},
       {"end", last_end_ ? ExchangeEndName(*last_end_) : std::string()},
       {"unfinished_bytes", std::to_string(unfinished_event_bytes_)},
       {"prompt", std::to_string(head_.prompt_tokens)},
       {"most_output", std::to_string(head_.max_output_tokens)},
       {"tokens", std::to_string(predicted_tokens_)},
       {"plan", std::to_string(plan_->plan().version)}});
  LeaveAdmissionQueue();
  context_.response_buffers.Release(std::exchange(buffered_bytes_, 0));
  held_response_.Set(0);
  // Other callbacks may keep this object for a while.
  request_.body = std::string();
  held_request_.Set(0);
  if (attempt_) attempt_->Cancel();
  if (next_attempt_) next_attempt_->Cancel();
  if (migration_) migration_->Abandon();
  attempt_ = nullptr;
  next_attempt_ = nullptr;
  migration_ = nullptr;
  exchange_->OnBacklogShrunk(nullptr);
  exchange_->OnCallerDisconnected(nullptr);
  if (on_finished_) std::exchange(on_finished_, nullptr)();
}

}  // namespace coltsfootfork

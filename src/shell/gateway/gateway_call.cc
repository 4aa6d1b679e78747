#include "shell/gateway/gateway_call.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/hop_fields.h"
#include "shell/gateway/refusal_answer.h"
#include "shell/gateway/request_text.h"
#include "shell/log/event.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// An event of a stream is held until it is whole, up to this size.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
// A stream has an event for each token at most. What is beyond twice that, and
// this many more for comments and repeats, has no end.
constexpr std::uint64_t kSpareEvents = 1024;
// The most events of a call that names no number of tokens.
constexpr std::uint64_t kMaxUncountedEvents = 1U << 20U;
// A stream that its caller does not read is held up to this size; most streams
// are far shorter as a whole.
constexpr std::size_t kMaxBacklogBytes = 512U << 10U;
// An idle connection that has been so long without use may be gone already.
constexpr milliseconds kFreshIdle{1000};
constexpr int kFirstFailure = 300;
constexpr int kFirstServerError = 500;

milliseconds AsMilliseconds(Duration duration) {
  return milliseconds(ToMilliseconds(duration));
}

const char* EndName(AttemptResult end) {
  switch (end) {
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

GatewayCounter RepeatCount(AttemptResult end) {
  switch (end) {
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
                         std::function<void()> on_over)
    : context_(context),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      on_over_(std::move(on_over)),
      timer_(context.io),
      move_timer_(context.io),
      arrived_(now),
      plan_(context.plan) {}

void GatewayCall::Start(Time now) {
  head_ = context_.protocol.ReadCallHead(request_);
  exchange_->OnCallerDisconnected([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
  Admit(now);
}

void GatewayCall::Admit(Time now) {
  if (const auto refusal = FindRoute()) {
    if (refusal->outcome == CallOutcome::kNoPlan && Hold(now)) return;
    return Refuse(*refusal);
  }
  ChooseService();
  StartDeadline(now);
  context_.budget.CountFirstAttempt(service_->name, now);
  if (service_->engine) {
    context_.headroom.OnArrival(service_->name, Standing(now), tokens_, now);
  }
  SendToBest(now);
}

void GatewayCall::StartDeadline(Time now) {
  const milliseconds patience = head_.caller_timeout.value_or(route_->timeout);
  age_ = context_.retry_age.EstimateAge(route_->name, patience);
  patience_end_ = arrived_ + patience;
  deadline_ = arrived_ + std::min(patience, route_->timeout);
  timer_.expires_after(deadline_ - now);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self) self->OnDeadline();
  });
}

void GatewayCall::SendToBest(Time now) {
  const auto choice = context_.balancer.Pick(QueryForServer(now), now);
  if (!choice) {
    if (sends_ > 0 || ran_)
      return OnAttemptEnded(AttemptResult::kNeverSent, now);
    if (const auto pause = PauseLeft(now)) {
      return Refuse({CallOutcome::kServersBackingOff, 503, pause});
    }
    if (Hold(now)) return;
    return Refuse({CallOutcome::kNoServer, 503, kRetryAfterRefusal});
  }
  const bool has_turn =
      context_.admission_queue.WouldBeFirst(service_->name, rank_);
  const bool may_wait = service_->engine && sends_ == 0;
  if (may_wait && (!choice->fits || !has_turn)) return AwaitRoom(now);
  SendTo(*choice, now);
}

void GatewayCall::SendTo(const ServerChoice& choice, Time now) {
  if (sent_at_ == Time()) sent_at_ = now;
  leg_ = std::make_shared<ServerLeg>(context_, PlanLeg(choice, now));
  leg_->Start(head_.id, now, EventsOf(leg_, std::nullopt));
}

LegPlan GatewayCall::PlanLeg(const ServerChoice& choice, Time now) {
  LegPlan leg;
  leg.server = choice.id;
  leg.address = choice.address;
  leg.incarnation = choice.incarnation;
  leg.load = {1, tokens_, head_.prompt_tokens};
  leg.wish.server = choice.id;
  leg.wish.address = choice.address;
  leg.wish.limit = std::max<std::uint32_t>(
      service_->max_connections / std::max<std::uint32_t>(context_.entries, 1),
      2);
  if (!route_->IsSafeToRetry()) leg.wish.idle_at_most = kFreshIdle;
  ChooseBackup(leg, now);
  return leg;
}

std::string GatewayCall::WriteRequest(
    const LegPlan& leg, const std::optional<MigrationSource>& carry) {
  const Time now = MonotonicNow();
  ForwardHead head;
  head.server = leg.server;
  head.remaining_time =
      std::max(AsMilliseconds(deadline_ - now), milliseconds(1));
  if (workspace_ != nullptr) head.workspace = workspace_->name;
  if (service_->engine) head.rank = rank_;
  head.backup_address = leg.backup_address;
  head.migration_source = carry;
  if (last_event_) {
    head.last_event_id = std::to_string(*last_event_);
  } else {
    head.last_event_id = head_.last_event_id;
  }
  return RequestText(request_, context_.protocol.ForwardFields(request_, head));
}

LegEvents GatewayCall::EventsOf(const std::shared_ptr<ServerLeg>& leg,
                                std::optional<MigrationSource> carry) {
  LegEvents events;
  const auto self = shared_from_this();
  events.request = [self, plan = leg->plan(), carry = std::move(carry)] {
    // A stream that goes on from its memory is the same run.
    if (!carry) ++self->sends_;
    return self->WriteRequest(plan, carry);
  };
  events.on_unreached = [self] { self->OnUnreached(); };
  events.on_head = [self](const HttpResponse& head, const ResponseHead& facts) {
    self->OnHead(head, facts);
  };
  events.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  events.on_end = [self](ExchangeEnd end) { self->OnEnd(end); };
  return events;
}

void GatewayCall::OnUnreached() {
  const Time now = MonotonicNow();
  context_.balancer.OnUnreachable(leg_->plan().server, now);
  OnAttemptEnded(AttemptResult::kNeverSent, now);
}

void GatewayCall::OnHead(const HttpResponse& head, const ResponseHead& facts) {
  context_.response_buffers.Release(std::exchange(held_bytes_, 0));
  answer_ = head;
  answer_facts_ = facts;
  streaming_ = IsStream(head);
  if (!streaming_) return;
  context_.balancer.OnResponse(leg_->plan().server, /*failed=*/false);
  if (answer_begun_) return;
  answer_begun_ = true;
  exchange_->StartStream(
      {head.status, head.content_type, EndToEndFields(head.fields), {}});
}

bool GatewayCall::IsStream(const HttpResponse& head) const {
  constexpr const char* kEventStream = "text/event-stream";
  const boost::beast::string_view type(head.content_type);
  return head.status < kFirstFailure && answer_facts_.has_signature &&
         answer_facts_.id == head_.id && route_->kind == CallKind::kStreaming &&
         boost::beast::iequals(type.substr(0, type.find(';')), kEventStream);
}

void GatewayCall::OnBody(std::string_view bytes) {
  if (streaming_) return ForwardEvents(bytes);
  if (!context_.response_buffers.TryReserve(held_bytes_, bytes.size())) {
    return EndEndless();
  }
  held_bytes_ += bytes.size();
  answer_.body += bytes;
}

void GatewayCall::EndEndless() {
  leg_->Cancel();
  OnEnd(ExchangeEnd::kEndless);
}

bool GatewayCall::IsWithinBounds() const {
  const std::uint64_t most = head_.max_output_tokens > 0
                                 ? 2 * head_.max_output_tokens + kSpareEvents
                                 : kMaxUncountedEvents;
  return events_seen_ <= most && splitter_.rest().size() <= kMaxEventBytes;
}

void GatewayCall::ForwardEvents(std::string_view bytes) {
  std::string events;
  for (const StreamEvent& event : splitter_.Feed(bytes)) {
    ++events_seen_;
    const bool known = event.id && last_event_ && *event.id <= *last_event_;
    if (known) continue;
    if (event.id) last_event_ = event.id;
    events += event.text;
  }
  if (!IsWithinBounds()) return EndEndless();
  if (events.empty()) return;
  exchange_->WriteChunk(events);
  if (exchange_->backlog_bytes() > kMaxBacklogBytes) {
    return AbortAnswer(CallOutcome::kSlowCaller);
  }
  const Time now = MonotonicNow();
  const bool first = first_event_at_ == Time();
  leg_->OnPrefillDone();
  NoteEvents(now);
  NoteLength();
  // The engine announced its leaving before the stream had begun.
  if (leaving_ && first) Carry(now);
}

void GatewayCall::NoteEvents(Time now) {
  if (first_event_at_ == Time()) {
    first_event_at_ = now;
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

std::uint64_t GatewayCall::Made() const {
  if (!service_->engine) return 0;
  return last_event_.value_or(0) * service_->engine->tokens_per_event;
}

void GatewayCall::NoteLength() {
  if (!service_->engine || tokens_ == 0) return;
  const std::uint64_t expected = tokens_ - head_.prompt_tokens;
  const std::uint64_t raised =
      RaisePrediction(expected, Made(), head_.max_output_tokens);
  if (raised <= expected) return;
  leg_->Raise(raised - expected);
  tokens_ += raised - expected;
}

void GatewayCall::OnEnd(ExchangeEnd end) {
  const Time now = MonotonicNow();
  const ServerId server = leg_->plan().server;
  if (end == ExchangeEnd::kEndless) {
    context_.metrics.Count(GatewayCounter::kOversizedResponse);
  }
  if (streaming_) return OnStreamEnd(end, now);
  if (end != ExchangeEnd::kWhole) {
    context_.balancer.OnResponse(server, /*failed=*/true);
    return OnAttemptEnded(AttemptResult::kIncompleteResponse, now);
  }
  if (answer_facts_.not_run) return OnAttemptEnded(AttemptResult::kNotRun, now);
  const bool ours = answer_facts_.id == head_.id;
  const bool success = answer_.status < kFirstFailure;
  if (!ours || (success && !answer_facts_.has_signature)) {
    context_.balancer.OnResponse(server, /*failed=*/true);
    return OnAttemptEnded(AttemptResult::kIncompleteResponse, now);
  }
  const bool failed = answer_.status >= kFirstServerError;
  // One that asks for time has not failed.
  context_.balancer.OnResponse(server,
                               failed && !answer_facts_.requested_backoff);
  if (failed) return OnAttemptEnded(AttemptResult::kServerError, now);
  Deliver();
}

void GatewayCall::OnStreamEnd(ExchangeEnd end, Time now) {
  if (end == ExchangeEnd::kWhole) {
    // What follows the last blank line belongs to the answer as well.
    exchange_->WriteChunk(splitter_.rest());
    exchange_->FinishStream();
    context_.output_lengths.OnCompleted(route_->name, head_.max_output_tokens,
                                        Made());
    return Over(CallOutcome::kServed, answer_.status);
  }
  splitter_.DropRest();
  leg_ended_ = true;
  if (next_leg_ || (move_ && move_->is_stopping())) return;
  if (MayCarry() && (CarryFromCopy(now) || CarryFromBackup(now))) return;
  context_.balancer.OnResponse(leg_->plan().server, /*failed=*/true);
  OnAttemptEnded(AttemptResult::kIncompleteResponse, now);
}

AttemptHistory GatewayCall::HistoryAt(Time now) {
  AttemptHistory history;
  history.safe_to_retry = route_->IsSafeToRetry();
  history.attempts = sends_;
  history.max_attempts = route_->max_attempts;
  history.may_have_run = ran_;
  history.response_started = answer_begun_;
  history.deadline = deadline_;
  history.budget_allows = context_.budget.AllowsRetry(service_->name, now);
  history.untried_server_available =
      context_.balancer.CanServe(QueryForServer(now), now);
  return history;
}

void GatewayCall::OnAttemptEnded(AttemptResult end, Time now) {
  if (leg_) tried_.insert(leg_->plan().server);
  if (end == AttemptResult::kServerError ||
      end == AttemptResult::kIncompleteResponse)
    ran_ = true;
  const AttemptHistory history = HistoryAt(now);
  const auto next = DecideRetry(history, end, now);
  streaming_ = false;
  if (std::holds_alternative<RetryOnAnotherServer>(next)) {
    context_.metrics.Count(RepeatCount(end));
    if (sends_ > 0) context_.budget.CountRetry(service_->name, now);
    Log(LogLevel::kInfo, Event::kCallSentAgain,
        {{"id", head_.id.value()},
         {"server", leg_ ? leg_->plan().server.value() : std::string()},
         {"end", EndName(end)},
         {"status", std::to_string(answer_.status)},
         {"sends", std::to_string(sends_)}});
    leg_ended_ = false;
    return SendToBest(now);
  }
  if (!history.budget_allows) {
    context_.metrics.Count(GatewayCounter::kRetryBudgetExhausted);
  }
  if (std::holds_alternative<AbortResponse>(next)) {
    return AbortAnswer(CallOutcome::kResponseAborted);
  }
  if (std::holds_alternative<ForwardServerError>(next)) return Deliver();
  const auto& answer = std::get<RespondToCaller>(next);
  auto retry_after = answer.retry_after;
  if (retry_after) retry_after = PauseLeft(now).value_or(*retry_after);
  Refuse({ran_ ? CallOutcome::kIncompleteResponse : CallOutcome::kNotRun,
          static_cast<int>(answer.status), retry_after});
}

void GatewayCall::Deliver() {
  const int status = answer_.status;
  answer_.fields = EndToEndFields(answer_.fields);
  exchange_->Respond(std::move(answer_));
  Over(status < kFirstServerError ? CallOutcome::kServed
                                  : CallOutcome::kServerError,
       status);
}

void GatewayCall::Refuse(const Refusal& refusal) {
  exchange_->Respond(RefusalAnswer(
      refusal.status, CallOutcomeName(refusal.outcome), refusal.retry_after));
  Over(refusal.outcome, refusal.status);
}

void GatewayCall::AbortAnswer(CallOutcome outcome) {
  exchange_->AbortStream();
  Over(outcome, answer_.status);
}

void GatewayCall::OnDeadline() {
  if (over_) return;
  const bool sent = ran_ || (leg_ && leg_->is_sent());
  if (answer_begun_) return AbortAnswer(CallOutcome::kDeadlineExceeded);
  constexpr int kGatewayTimeout = 504;
  if (sent)
    return Refuse({CallOutcome::kDeadlineExceeded, kGatewayTimeout, {}});
  Refuse({CallOutcome::kDeadlineExceeded, 503, kRetryAfterRefusal});
}

void GatewayCall::OnCallerDisconnected() {
  Over(CallOutcome::kCallerDisconnected, 0);
}

void GatewayCall::Over(CallOutcome outcome, int status) {
  if (over_) return;
  over_ = true;
  timer_.cancel();
  move_timer_.cancel();
  const auto self = shared_from_this();
  const Duration taken = MonotonicNow() - arrived_;
  context_.metrics.Count(outcome, taken);
  Log(LogLevel::kInfo, Event::kCallEnded,
      {{"id", head_.id.value()},
       {"outcome", CallOutcomeName(outcome)},
       {"status", std::to_string(status)},
       {"route", route_ != nullptr ? route_->name : std::string()},
       {"server", leg_ ? leg_->plan().server.value() : std::string()},
       {"sends", std::to_string(sends_)},
       {"carried", std::to_string(carried_)},
       {"ms", std::to_string(ToMilliseconds(taken))},
       {"rank", std::to_string(rank_)},
       {"waited_ms", sent_at_ == Time()
                         ? std::string()
                         : std::to_string(ToMilliseconds(sent_at_ - arrived_))},
       {"first_ms",
        first_event_at_ == Time()
            ? std::string()
            : std::to_string(ToMilliseconds(first_event_at_ - arrived_))},
       {"pause_ms", std::to_string(ToMilliseconds(longest_pause_))},
       {"event", std::to_string(last_event_.value_or(0))},
       {"prompt", std::to_string(head_.prompt_tokens)},
       {"most_output", std::to_string(head_.max_output_tokens)},
       {"tokens", std::to_string(tokens_)},
       {"plan", std::to_string(plan_->plan().version)}});
  LeaveWaiting();
  context_.response_buffers.Release(std::exchange(held_bytes_, 0));
  if (leg_) leg_->Cancel();
  if (next_leg_) next_leg_->Cancel();
  if (move_) move_->Abandon();
  leg_ = nullptr;
  next_leg_ = nullptr;
  move_ = nullptr;
  exchange_->OnCallerDisconnected(nullptr);
  if (on_over_) std::exchange(on_over_, nullptr)();
}

}  // namespace coltsfootfork

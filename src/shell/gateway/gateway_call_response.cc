#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/gateway_call.h"
#include "shell/gateway/hop_fields.h"
#include "shell/log/event.h"

// The response of a GatewayCall's current attempt, and how it is forwarded.
namespace coltsfootfork {
namespace {

// An incomplete event of a stream is buffered up to this size.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
// A stream has at most one event per token. A stream with more than twice that
// number, plus this number for comments and repeated events, is aborted as
// endless.
constexpr std::uint64_t kExtraEvents = 1024;
// Limit for calls that state no maximum number of output tokens.
constexpr std::uint64_t kMaxEventsWithoutTokenLimit = 1U << 20U;
// An engine that crashes on a part of a prompt does so within this time of the
// response's head. Longer than a slow host takes to forward the first events.
constexpr Duration kBeginningOfResponse = std::chrono::seconds(1);
constexpr int kFirstNonSuccessStatus = 300;
constexpr int kFirstServerErrorStatus = 500;

// Returns whether the response was received to its end, as far as HTTP shows.
bool IsReceived(ExchangeEnd end) {
  return end == ExchangeEnd::kComplete || end == ExchangeEnd::kClosed;
}

}  // namespace

void GatewayCall::OnHead(const HttpResponse& head, const ResponseHead& facts) {
  context_.response_buffers.Release(std::exchange(buffered_bytes_, 0));
  held_response_.Set(0);
  response_ = head;
  response_facts_ = facts;
  streaming_ = IsEventStream(head);
  response_began_at_ = MonotonicNow();
  survived_ = false;
  splitter_.Restart();
  pause_sampler_.Restart();
  late_pause_sampler_.Restart();
  if (!streaming_) return;
  context_.balancer.OnResponse(attempt_->plan().server, /*failed=*/false);
  if (response_started_) return PaceStream(MonotonicNow());
  response_started_ = true;
  exchange_->StartStream(
      {head.status, head.content_type, EndToEndFields(head.fields), {}});
}

bool GatewayCall::IsEventStream(const HttpResponse& head) const {
  return head.status < kFirstNonSuccessStatus &&
         response_facts_.has_signature && response_facts_.id == head_.id &&
         route_->kind == CallKind::kStreaming &&
         IsEventStreamType(head.content_type);
}

void GatewayCall::OnBody(std::string_view bytes) {
  if (streaming_) return ForwardEvents(bytes);
  if (!context_.response_buffers.TryReserve(buffered_bytes_, bytes.size())) {
    return AbortOversizedResponse();
  }
  buffered_bytes_ += bytes.size();
  held_response_.Set(buffered_bytes_);
  response_.body += bytes;
}

void GatewayCall::AbortOversizedResponse() {
  attempt_->Cancel();
  OnEnd(ExchangeEnd::kOversized);
}

bool GatewayCall::IsWithinSizeLimits() const {
  const std::uint64_t max_events =
      head_.max_output_tokens > 0 ? 2 * head_.max_output_tokens + kExtraEvents
                                  : kMaxEventsWithoutTokenLimit;
  return events_received_ <= max_events &&
         splitter_.incomplete_event().size() <= kMaxEventBytes;
}

void GatewayCall::ForwardEvents(std::string_view bytes) {
  std::string events;
  std::size_t new_events = 0;
  for (const ServerSentEvent& event : splitter_.Feed(bytes)) {
    ++events_received_;
    const bool already_sent =
        event.id && last_event_id_ && *event.id <= *last_event_id_;
    if (already_sent) continue;
    if (event.id) last_event_id_ = event.id;
    events += event.text;
    ++new_events;
  }
  if (!IsWithinSizeLimits()) return AbortOversizedResponse();
  if (events.empty()) return;
  exchange_->WriteChunk(events);
  const Time now = MonotonicNow();
  PaceStream(now);
  if (finished_) return;
  const bool first = first_event_at_ == Time();
  attempt_->OnPrefillDone(now);
  RecordEventTimes(now);
  RecordPauses(new_events, now);
  if (now >= response_began_at_ + kBeginningOfResponse) ReportSurvival(now);
  UpdatePredictedLength();
  // The drain notice arrived before the stream started.
  if (migration_pending_ && first) Migrate(now);
}

void GatewayCall::PaceStream(Time now) {
  if (finished_) return;
  const bool was_paused = pacer_.pause_ends_at().has_value();
  const std::size_t allowed = context_.held_bytes->AllowedBacklog();
  const auto action =
      pacer_.OnBacklog(exchange_->backlog_bytes(), allowed, now);
  if (action == StreamPacer::Action::kEnd) {
    // The backlog would use memory until the connection's write times out.
    exchange_->EndSlowCaller(allowed);
    return Finish(CallOutcome::kSlowCaller, response_.status);
  }
  const bool is_paused = action == StreamPacer::Action::kPause;
  // Also if nothing has changed, since the attempt may be a new one.
  if (attempt_) attempt_->SetReadPaused(is_paused);
  if (is_paused == was_paused) return;
  if (!is_paused) {
    pace_timer_.cancel();
    late_pause_sampler_.Restart();
    return exchange_->OnBacklogShrunk(nullptr);
  }
  context_.metrics.Count(GatewayCounter::kReadPaused);
  const auto pace = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->PaceStream(MonotonicNow());
  };
  exchange_->OnBacklogShrunk(pace);
  pace_timer_.expires_after(*pacer_.pause_ends_at() - now);
  pace_timer_.async_wait([pace](boost::system::error_code error) {
    if (!error) pace();
  });
}

void GatewayCall::RecordEventTimes(Time now) {
  if (first_event_at_ == Time()) {
    first_event_at_ = now;
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void GatewayCall::RecordPauses(std::size_t events, Time now) {
  if (std::holds_alternative<IgnorePerformance>(
          context_.options.balancer.performance)) {
    return;
  }
  const AttemptPlan& plan = attempt_->plan();
  if (const auto sum = pause_sampler_.OnEvents(events, now)) {
    context_.pauses.Add(PerformanceKeyOf(plan.server, plan.incarnation),
                        context_.balancer.BandOfServer(plan.server), *sum);
  }
  const auto late =
      late_pause_sampler_.OnEvents(events, route_->pause_goal, now);
  if (late) {
    context_.latencies.Add(PerformanceKeyOf(plan.server, plan.incarnation),
                           *late);
  }
}

std::uint64_t GatewayCall::OutputTokens() const {
  if (!service_->engine) return 0;
  return last_event_id_.value_or(0) * service_->engine->tokens_per_event;
}

void GatewayCall::UpdatePredictedLength() {
  if (!service_->engine || predicted_tokens_ == 0) return;
  const std::uint64_t predicted_output =
      predicted_tokens_ - head_.prompt_tokens;
  const std::uint64_t raised_output = RaisePrediction(
      predicted_output, OutputTokens(), head_.max_output_tokens);
  if (raised_output <= predicted_output) return;
  attempt_->AddTokens(raised_output - predicted_output);
  predicted_tokens_ += raised_output - predicted_output;
}

void GatewayCall::OnEnd(ExchangeEnd end) {
  const Time now = MonotonicNow();
  const ServerId server = attempt_->plan().server;
  last_end_ = end;
  if (end == ExchangeEnd::kOversized) {
    context_.metrics.Count(GatewayCounter::kOversizedResponse);
  }
  if (end == ExchangeEnd::kMalformed) {
    context_.metrics.Count(GatewayCounter::kMalformedResponse);
  }
  if (streaming_) return OnStreamEnd(end, now);
  const bool breaks_off =
      IsEventStreamType(response_.content_type) &&
      !IsCompleteEventStream(response_.body, end == ExchangeEnd::kComplete);
  if (!IsReceived(end) || breaks_off) {
    ReportCrash(now);
    context_.balancer.OnResponse(server, /*failed=*/true);
    return OnAttemptFailed(AttemptResult::kIncompleteResponse, now);
  }
  if (response_facts_.not_run) {
    return OnAttemptFailed(AttemptResult::kNotRun, now);
  }
  const bool is_for_this_call = response_facts_.id == head_.id;
  const bool success = response_.status < kFirstNonSuccessStatus;
  if (!is_for_this_call || (success && !response_facts_.has_signature)) {
    context_.balancer.OnResponse(server, /*failed=*/true);
    return OnAttemptFailed(AttemptResult::kIncompleteResponse, now);
  }
  const bool failed = response_.status >= kFirstServerErrorStatus;
  // A server that requests back-off has not failed.
  context_.balancer.OnResponse(server,
                               failed && !response_facts_.requested_backoff);
  if (failed) return OnAttemptFailed(AttemptResult::kServerError, now);
  ForwardResponse();
}

bool GatewayCall::MayBeStopped(ExchangeEnd end) const {
  // Only a response that is delimited shows that its stream was not stopped.
  if (end == ExchangeEnd::kComplete) return false;
  return source_stopped_ || next_attempt_ ||
         (migration_ && migration_->is_stopping());
}

void GatewayCall::OnStreamEnd(ExchangeEnd end, Time now) {
  unfinished_event_bytes_ = splitter_.incomplete_event().size();
  // A server that closes the connection before the first event has broken off.
  const bool is_delimited = end == ExchangeEnd::kComplete;
  const bool is_whole = IsReceived(end) && !splitter_.IsInsideEvent() &&
                        (is_delimited || splitter_.has_events());
  if (is_whole && !MayBeStopped(end)) return FinishStream();
  if (!is_whole) ReportCrash(now);
  closed_between_events_ = is_whole;
  if (!is_whole) splitter_.DiscardIncompleteEvent();
  attempt_ended_ = true;
  if (next_attempt_ || (migration_ && migration_->is_stopping())) return;
  const bool may_resume =
      CanMigrate() && !context_.quarantine.IsSuspect(prompt_parts_, now);
  if (may_resume && (TryResumeFromCopy(now) || TryResumeFromBackup(now))) {
    return;
  }
  context_.balancer.OnResponse(attempt_->plan().server, /*failed=*/true);
  OnAttemptFailed(AttemptResult::kIncompleteResponse, now);
}

void GatewayCall::ReportSurvival(Time now) {
  if (std::exchange(survived_, true)) return;
  context_.quarantine.OnSurvival(prompt_parts_, now);
}

void GatewayCall::ReportCrash(Time now) {
  const bool is_beginning = now < response_began_at_ + kBeginningOfResponse;
  if (!is_beginning || prompt_parts_.empty()) return;
  if (last_end_ == ExchangeEnd::kOversized || MayBeStopped(*last_end_)) return;
  const AttemptPlan& plan = attempt_->plan();
  Log(LogLevel::kInfo, Event::kServerCrashedAtStart,
      {{"server", plan.server.value()},
       {"born", std::to_string(plan.incarnation)},
       {"call", head_.id.value()},
       {"service", service_->name.value()},
       {"parts", boost::algorithm::join(head_.shared_parts, ",")},
       {"ms", std::to_string(ToMilliseconds(now - response_began_at_))}});
  context_.quarantine.OnCrash(prompt_parts_,
                              CrashKeyOf(plan.server, plan.incarnation), now);
}

void GatewayCall::FinishStream() {
  ReportSurvival(MonotonicNow());
  // Comments and blank lines after the last event are part of the response.
  exchange_->WriteChunk(splitter_.incomplete_event());
  exchange_->FinishStream();
  context_.output_lengths.OnCompleted(route_->name, head_.max_output_tokens,
                                      OutputTokens());
  Finish(CallOutcome::kServed, response_.status);
}

void GatewayCall::ForwardResponse() {
  // A plain response cannot continue a stream.
  if (response_started_) {
    return AbortStartedResponse(CallOutcome::kResponseAborted);
  }
  if (response_.status < kFirstNonSuccessStatus) {
    ReportSurvival(MonotonicNow());
  }
  const int status = response_.status;
  response_.fields = EndToEndFields(response_.fields);
  exchange_->Respond(std::move(response_));
  Finish(status < kFirstServerErrorStatus ? CallOutcome::kServed
                                          : CallOutcome::kServerError,
         status);
}

}  // namespace coltsfootfork

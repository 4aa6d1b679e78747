#include "shell/gateway/backend_attempt.h"

#include <memory>
#include <string>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"

namespace coltsfootfork {

BackendAttempt::BackendAttempt(GatewayContext& context, AttemptPlan plan)
    : context_(context),
      plan_(std::move(plan)),
      reservation_(context.balancer, plan_.server, plan_.load),
      request_bytes_(context.server_requests, plan_.server,
                     plan_.request_bytes) {
  if (plan_.backup.empty()) return;
  backup_reservation_.emplace(
      context.balancer, plan_.backup,
      ServerLoad{plan_.load.calls, plan_.load.tokens, 0});
}

void BackendAttempt::Start(RequestId id, Time now, AttemptEvents events) {
  id_ = std::move(id);
  events_ = std::move(events);
  context_.balancer.OnSend(plan_.server, now);
  context_.pool.Acquire(plan_.connection_request, now,
                        [self = shared_from_this()](
                            std::shared_ptr<ServerConnection> connection) {
                          self->OnConnected(std::move(connection));
                        });
}

void BackendAttempt::Cancel() {
  if (cancelled_) return;
  cancelled_ = true;
  events_ = AttemptEvents();
  const auto connection = std::exchange(connection_, nullptr);
  if (connection) connection->Close();
  Release();
}

void BackendAttempt::OnConnected(std::shared_ptr<ServerConnection> connection) {
  if (cancelled_) {
    if (connection) connection->Close();
    return;
  }
  if (!connection) {
    Release();
    // Copied, since the call may release this attempt in the handler.
    const auto handler = events_.on_connect_failed;
    return handler();
  }
  connection_ = std::move(connection);
  sent_ = true;
  sent_at_ = MonotonicNow();
  prefill_ = context_.balancer.StartPrefillMeasurement(
      plan_.server, plan_.load.pending_prefill_tokens, sent_at_);
  ExchangeEvents events;
  events.on_head = [self = shared_from_this()](const HttpResponse& head,
                                               const ResponseHead& facts) {
    self->ProcessServerNotices(facts, MonotonicNow());
    const auto handler = self->events_.on_head;
    if (handler) handler(head, facts);
  };
  events.on_body = [self = shared_from_this()](std::string_view bytes) {
    const auto handler = self->events_.on_body;
    if (handler) handler(bytes);
  };
  events.on_end = [self = shared_from_this()](ExchangeEnd end) {
    self->connection_ = nullptr;
    self->Release();
    const auto handler = self->events_.on_end;
    self->events_ = AttemptEvents();
    if (handler) handler(end);
  };
  std::string request = events_.request();
  request_bytes_.Set(request.size());
  const auto held = std::make_shared<HeldBytes>(context_.held_bytes,
                                                HeldBytesPurpose::kRequest);
  held->Set(request.size());
  events.on_written = [held] { held->Set(0); };
  connection_->Send(std::move(request), id_, std::move(events));
}

void BackendAttempt::ProcessServerNotices(const ResponseHead& facts, Time now) {
  if (facts.requested_backoff) {
    context_.metrics.Count(GatewayCounter::kServerRequestedBackoff);
    Log(LogLevel::kInfo, Event::kServerAskedForTime,
        {{"server", plan_.server.value()},
         {"born", std::to_string(plan_.incarnation)},
         {"call", id_.value()},
         {"ms", std::to_string(facts.requested_backoff->count())}});
    context_.balancer.OnBackoffRequested(plan_.server, plan_.incarnation,
                                         now + *facts.requested_backoff);
  }
  ProcessRateLimit(facts, now);
  if (facts.cold_remaining) {
    context_.balancer.OnCold(plan_.server, plan_.incarnation,
                             *facts.cold_remaining, now);
  }
  const bool is_new_drain_notice =
      facts.is_draining && context_.on_drain_notice &&
      context_.balancer.IsServing(plan_.server, plan_.incarnation);
  if (!is_new_drain_notice) return;
  context_.metrics.Count(GatewayCounter::kServerDrainNotice);
  Log(LogLevel::kInfo, Event::kServerSaidItLeaves,
      {{"server", plan_.server.value()},
       {"born", std::to_string(plan_.incarnation)},
       {"call", id_.value()}});
  context_.on_drain_notice(plan_.server, plan_.incarnation);
}

void BackendAttempt::ProcessRateLimit(const ResponseHead& facts, Time now) {
  if (facts.is_misdirected) return;
  const bool changed = context_.balancer.OnRateLimit(
      plan_.server, plan_.incarnation, facts.rate_limit, sent_at_, now);
  if (!changed) return;
  Log(LogLevel::kInfo, Event::kServerRateLimit,
      {{"server", plan_.server.value()},
       {"born", std::to_string(plan_.incarnation)},
       {"call", id_.value()},
       {"per_second",
        facts.rate_limit ? std::to_string(*facts.rate_limit) : "none"},
       {"entries", std::to_string(context_.entry_count)}});
}

void BackendAttempt::OnPrefillDone(Time now) {
  if (const auto measured = std::exchange(prefill_, std::nullopt)) {
    const auto sum = context_.balancer.FinishPrefillMeasurement(*measured, now);
    if (sum) {
      context_.latencies.Add(PerformanceKeyOf(plan_.server, plan_.incarnation),
                             *sum);
    }
  }
  reservation_.OnPrefillDone();
}

void BackendAttempt::Release() {
  reservation_.Release();
  request_bytes_.Set(0);
  if (backup_reservation_) backup_reservation_->Release();
}

void BackendAttempt::AddTokens(std::uint64_t tokens) {
  reservation_.AddTokens(tokens);
  if (backup_reservation_) backup_reservation_->AddTokens(tokens);
}

}  // namespace coltsfootfork

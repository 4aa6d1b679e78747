#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/gateway_call.h"
#include "shell/log/event.h"

// Migration of a GatewayCall's running stream to another engine.
namespace coltsfootfork {
namespace {

// Maximum number of KV transfer targets tried for one migration of a stream.
constexpr std::uint32_t kMaxMigrationAttempts = 4;

const char* KvTransferStatusName(KvTransferStatus status) {
  switch (status) {
    case KvTransferStatus::kDone:
      return "done";
    case KvTransferStatus::kUnknownCall:
      return "unknown";
    case KvTransferStatus::kTransferInProgress:
      return "busy";
    case KvTransferStatus::kTargetUnavailable:
      return "no_room";
    case KvTransferStatus::kFailed:
      break;
  }
  return "failed";
}

const char* MigrationMethodName(GatewayCounter counter) {
  if (counter == GatewayCounter::kMigrated) return "move";
  return counter == GatewayCounter::kResumedFromCopy ? "copy" : "backup";
}

}  // namespace

void GatewayCall::ChooseBackup(AttemptPlan& plan, Time now) {
  const bool uses_backup = context_.options.migrate_streams &&
                           context_.options.backup_max_fill > 0 &&
                           service_->engine && service_->engine->backups &&
                           route_->kind == CallKind::kStreaming &&
                           !route_->IsSafeToRetry();
  if (!uses_backup) return;
  ServerQuery query = MakeServerQuery(now);
  query.max_fill = context_.options.backup_max_fill;
  query.excluded.insert(plan.server);
  const auto choice = context_.balancer.Pick(query, now);
  if (!choice || !choice->fits) return;
  plan.backup = choice->id;
  plan.backup_address = choice->address;
}

bool GatewayCall::CanMigrate() const {
  return context_.options.migrate_streams && service_ != nullptr &&
         service_->engine && route_->kind == CallKind::kStreaming &&
         !finished_ && attempt_ != nullptr;
}

bool GatewayCall::OnServerDraining(const ServerId& server, Time now) {
  if (finished_ || !attempt_ || attempt_->plan().server != server) return false;
  if (!CanMigrate() || route_->IsSafeToRetry()) return false;
  migration_pending_ = true;
  leave_by_ = now + kUsableNotice;
  evacuate_until_.reset();
  // Before the first event there is no stream to resume.
  if (!response_started_ || !last_event_id_) return false;
  if (TryResumeFromBackup(now)) return false;
  return true;
}

bool GatewayCall::PrepareEvacuation(Time until) {
  // A call that is safe to retry is not worth a transfer, and before the first
  // event there is no stream to resume.
  if (finished_ || !CanMigrate() || route_->IsSafeToRetry()) return false;
  if (!response_started_ || !last_event_id_ || is_migrating()) return false;
  evacuate_until_ = until;
  leave_by_ = until;
  return true;
}

void GatewayCall::MigrateFromEvacuatedZone(Time now) {
  if (finished_ || !evacuate_until_ || !CanMigrate() || is_migrating()) return;
  context_.metrics.Count(GatewayCounter::kEvacuationMigration);
  earliest_stop_ = now;
  Migrate(now);
}

bool GatewayCall::MayResumeAt(const ServerId& server, Time now) const {
  if (context_.balancer.IsBackingOff(server, now)) return false;
  const auto evacuated_since = context_.balancer.EvacuatedSince(server);
  if (!evacuated_since) return true;
  // The source of a stopped stream may still be used for a while after the
  // evacuation was acknowledged; a fifth of that time allows for the delays
  // until this entry learned of it and until the request arrives.
  return server == attempt_->plan().server &&
         now < *evacuated_since + context_.options.evacuation_bound * 4 / 5;
}

void GatewayCall::ScheduleMigration(Duration copy_delay, Duration stop_delay) {
  if (finished_ || !migration_pending_) return;
  earliest_stop_ = MonotonicNow() + stop_delay;
  delay_timer_.expires_after(copy_delay);
  delay_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->migration_pending_) {
          self->Migrate(MonotonicNow());
        }
      });
}

void GatewayCall::Migrate(Time now) {
  migration_pending_ = false;
  if (next_attempt_ || migration_) return;
  if (TryResumeFromBackup(now)) return;
  StartMigration(now);
}

bool GatewayCall::TryResumeFromBackup(Time now) {
  const AttemptPlan& plan = attempt_->plan();
  if (next_attempt_ || plan.backup.empty()) return false;
  const ServerRecord* backup = context_.balancer.Find(plan.backup);
  const bool is_available =
      backup != nullptr &&
      context_.balancer.IsServing(plan.backup, backup->incarnation) &&
      MayResumeAt(plan.backup, now) &&
      context_.server_requests->Admits(plan.backup, request_bytes_);
  if (!is_available) return false;
  MigrationSource source{plan.backup_address, head_.id.value()};
  ResumeAt(plan.backup, plan.backup_address, source,
           GatewayCounter::kResumedFromBackup, now);
  return true;
}

bool GatewayCall::TryResumeFromCopy(Time now) {
  if (next_attempt_ || !migration_ || migration_->copy_handle().empty()) {
    return false;
  }
  const ServerChoice target = migration_->target();
  if (!MayResumeAt(target.id, now)) return false;
  const MigrationSource source{attempt_->plan().address,
                               migration_->copy_handle()};
  migration_->Cancel();
  migration_ = nullptr;
  ResumeAt(target.id, target.address, source, GatewayCounter::kResumedFromCopy,
           now);
  return true;
}

void GatewayCall::StartMigration(Time now) {
  const bool may_transfer = service_->engine->moves && !attempt_ended_ &&
                            !migration_ &&
                            migration_attempts_ < kMaxMigrationAttempts;
  if (!may_transfer || (evacuate_until_ && now >= *evacuate_until_)) return;
  ServerQuery query = MakeServerQuery(now);
  query.max_fill = 1.0;
  query.requires_capacity = evacuate_until_.has_value();
  const ServerId& source = attempt_->plan().server;
  query.excluded.insert(source);
  const auto choice =
      context_.balancer.PickMigrationTarget(query, source, head_.id, now);
  if (!choice) return;
  ++migration_attempts_;
  migration_ = std::make_shared<StreamMigration>(
      context_, head_.id, attempt_->plan().address, *choice,
      ServerLoad{1, predicted_tokens_, 0}, request_bytes_);
  migration_->Start(
      {earliest_stop_, evacuate_until_, leave_by_},
      [weak = weak_from_this()](const StreamMigrationResult& result) {
        const auto self = weak.lock();
        if (self) self->OnKvTransferFinished(result, MonotonicNow());
      });
}

void GatewayCall::OnKvTransferFinished(const StreamMigrationResult& result,
                                       Time now) {
  if (finished_) return;
  const ServerChoice target = migration_->target();
  const bool stop_requested = migration_->is_stopping();
  migration_ = nullptr;
  const bool had_ended = result.status == KvTransferStatus::kUnknownCall;
  if (stop_requested && !had_ended) source_stopped_ = true;
  if (!result.stopped) {
    Log(LogLevel::kInfo, Event::kCarryRefused,
        {{"id", head_.id.value()},
         {"from", attempt_->plan().server.value()},
         {"to", target.id.value()},
         {"end", KvTransferStatusName(result.status)}});
    context_.metrics.Count(GatewayCounter::kMigrationRefused);
    if (attempt_ended_) return OnMigrationRefused(now);
    tried_servers_.insert(target.id);
    return StartMigration(now);
  }
  const AttemptPlan& plan = attempt_->plan();
  Log(LogLevel::kInfo, Event::kStreamMoved,
      {{"id", head_.id.value()},
       {"from", plan.server.value()},
       {"to", target.id.value()},
       {"at_source", result.at_source ? "true" : "false"},
       {"copy_ms", std::to_string(ToMilliseconds(result.copy_duration))},
       {"stop_ms", std::to_string(ToMilliseconds(result.stop_duration))},
       {"small_copies", std::to_string(result.small_transfers)},
       {"small_ms",
        std::to_string(ToMilliseconds(result.last_small_duration))}});
  const ServerId& to = result.at_source ? plan.server : target.id;
  if (!MayResumeAt(to, now)) {
    // The stream cannot be resumed on a server that is backing off or in an
    // evacuated zone.
    attempt_ended_ = true;
    return OnMigrationRefused(now);
  }
  const MigrationSource source{plan.address, result.handle};
  if (result.at_source) {
    return ResumeAt(plan.server, plan.address, source,
                    GatewayCounter::kMigrated, now);
  }
  ResumeAt(target.id, target.address, source, GatewayCounter::kMigrated, now);
}

void GatewayCall::ResumeAt(const ServerId& server, const std::string& address,
                           const MigrationSource& source,
                           GatewayCounter counter, Time now) {
  Log(LogLevel::kInfo, Event::kStreamCarried,
      {{"id", head_.id.value()},
       {"from", attempt_->plan().server.value()},
       {"to", server.value()},
       {"way", MigrationMethodName(counter)},
       {"event", std::to_string(last_event_id_.value_or(0))}});
  const ServerRecord* record = context_.balancer.Find(server);
  AttemptPlan plan = PlanAttempt(
      {server, address, record == nullptr ? 0 : record->incarnation, true},
      now);
  // The copy includes the prompt, so no prefill is pending.
  plan.load.pending_prefill_tokens = 0;
  next_attempt_ = std::make_shared<BackendAttempt>(context_, std::move(plan));
  AttemptEvents events = MakeAttemptEvents(next_attempt_, source);
  const auto self = shared_from_this();
  events.on_connect_failed = [self] {
    self->OnMigrationRefused(MonotonicNow());
  };
  events.on_head = [self, counter](const HttpResponse& head,
                                   const ResponseHead& facts) {
    self->OnResumedHead(head, facts, counter);
  };
  // Until the server accepts the stream with a response head, its response is a
  // refusal.
  const auto weak_attempt = std::weak_ptr<BackendAttempt>(next_attempt_);
  events.on_body = [self, weak_attempt](std::string_view bytes) {
    if (self->attempt_ == weak_attempt.lock()) self->OnBody(bytes);
  };
  events.on_end = [self, weak_attempt](ExchangeEnd end) {
    if (self->attempt_ == weak_attempt.lock()) return self->OnEnd(end);
    self->OnMigrationRefused(MonotonicNow());
  };
  next_attempt_->Start(head_.id, now, std::move(events));
}

void GatewayCall::OnResumedHead(const HttpResponse& head,
                                const ResponseHead& facts,
                                GatewayCounter counter) {
  if (finished_ || !next_attempt_) return;
  response_facts_ = facts;
  // A refusal is handled when its response is complete.
  if (!IsEventStream(head)) return;
  context_.metrics.Count(counter);
  ++migrations_;
  migration_pending_ = false;
  evacuate_until_.reset();
  // The source engine stops the call when its connection is closed.
  attempt_->Cancel();
  attempt_ = std::exchange(next_attempt_, nullptr);
  attempt_ended_ = false;
  source_stopped_ = false;
  response_began_at_ = MonotonicNow();
  survived_ = false;
  streaming_ = true;
  migration_attempts_ = 0;
  splitter_.Restart();
  PaceStream(response_began_at_);
}

void GatewayCall::OnMigrationRefused(Time now) {
  if (finished_) return;
  context_.metrics.Count(GatewayCounter::kMigrationRefused);
  Log(LogLevel::kInfo, Event::kCarryRefused,
      {{"id", head_.id.value()},
       {"from", attempt_->plan().server.value()},
       {"to",
        next_attempt_ ? next_attempt_->plan().server.value() : std::string()},
       {"end", attempt_ended_ ? "source_ended" : "refused"}});
  if (next_attempt_) {
    tried_servers_.insert(next_attempt_->plan().server);
    next_attempt_->Cancel();
    next_attempt_ = nullptr;
  }
  if (!attempt_ended_) return StartMigration(now);
  if (closed_between_events_ && !source_stopped_) return FinishStream();
  context_.metrics.Count(GatewayCounter::kMigrationFailed);
  OnAttemptFailed(AttemptResult::kIncompleteResponse, now);
}

}  // namespace coltsfootfork

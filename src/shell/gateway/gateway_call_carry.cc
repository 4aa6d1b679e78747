#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/gateway/gateway_call.h"
#include "shell/log/event.h"

// The part of GatewayCall that carries a running stream over to another engine.
namespace coltsfootfork {
namespace {

// Targets that one stream's move is tried with.
constexpr std::uint32_t kMoveTries = 4;

const char* KvTransferStatusName(KvTransferStatus end) {
  switch (end) {
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

const char* WayName(GatewayCounter count) {
  if (count == GatewayCounter::kMigrated) return "move";
  return count == GatewayCounter::kResumedFromCopy ? "copy" : "backup";
}

}  // namespace

void GatewayCall::ChooseBackup(LegPlan& leg, Time now) {
  const bool wanted = context_.options.migrate_streams &&
                      context_.options.backup_max_fill > 0 &&
                      service_->engine && service_->engine->backups &&
                      route_->kind == CallKind::kStreaming &&
                      !route_->IsSafeToRetry();
  if (!wanted) return;
  ServerQuery query = QueryForServer(now);
  query.max_fill = context_.options.backup_max_fill;
  query.excluded.insert(leg.server);
  const auto choice = context_.balancer.Pick(query, now);
  if (!choice || !choice->fits) return;
  leg.backup = choice->id;
  leg.backup_address = choice->address;
}

bool GatewayCall::MayCarry() const {
  return context_.options.migrate_streams && service_ != nullptr &&
         service_->engine && route_->kind == CallKind::kStreaming && !over_ &&
         leg_ != nullptr;
}

bool GatewayCall::OnServerLeaving(const ServerId& server, Time now) {
  if (over_ || !leg_ || leg_->plan().server != server) return false;
  if (!MayCarry() || route_->IsSafeToRetry()) return false;
  leaving_ = true;
  // Before the first event there is nothing to go on from.
  if (!answer_begun_ || !last_event_) return false;
  if (CarryFromBackup(now)) return false;
  return true;
}

void GatewayCall::MoveAfter(Duration turn, Duration stop) {
  if (over_ || !leaving_) return;
  stop_at_ = MonotonicNow() + stop;
  move_timer_.expires_after(turn);
  move_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->leaving_) self->Carry(MonotonicNow());
      });
}

void GatewayCall::Carry(Time now) {
  leaving_ = false;
  if (next_leg_ || move_) return;
  if (CarryFromBackup(now)) return;
  CarryByMove(now);
}

bool GatewayCall::CarryFromBackup(Time now) {
  const LegPlan& plan = leg_->plan();
  if (next_leg_ || plan.backup.empty()) return false;
  const ServerRecord* backup = context_.balancer.Find(plan.backup);
  const bool serves =
      backup != nullptr &&
      context_.balancer.IsServing(plan.backup, backup->incarnation) &&
      !context_.balancer.IsBackingOff(plan.backup, now);
  if (!serves) return false;
  MigrationSource source{plan.backup_address, head_.id.value()};
  GoOnAt(plan.backup, plan.backup_address, source,
         GatewayCounter::kResumedFromBackup, now);
  return true;
}

bool GatewayCall::CarryFromCopy(Time now) {
  if (next_leg_ || !move_ || move_->copy().empty()) return false;
  const ServerChoice target = move_->target();
  if (context_.balancer.IsBackingOff(target.id, now)) return false;
  const MigrationSource source{leg_->plan().address, move_->copy()};
  move_->Abandon();
  move_ = nullptr;
  GoOnAt(target.id, target.address, source, GatewayCounter::kResumedFromCopy,
         now);
  return true;
}

void GatewayCall::CarryByMove(Time now) {
  const bool may_move = service_->engine->moves && !leg_ended_ && !move_ &&
                        move_tries_ < kMoveTries;
  if (!may_move) return;
  ServerQuery query = QueryForServer(now);
  query.max_fill = 1.0;
  const ServerId& source = leg_->plan().server;
  query.excluded.insert(source);
  const auto choice =
      context_.balancer.PickMigrationTarget(query, source, head_.id, now);
  if (!choice) return;
  ++move_tries_;
  move_ = std::make_shared<StreamMove>(context_, head_.id, leg_->plan().address,
                                       *choice, ServerLoad{1, tokens_, 0});
  move_->Start(stop_at_,
               [weak = weak_from_this()](const StreamMoveResult& result) {
                 const auto self = weak.lock();
                 if (self) self->OnMoved(result, MonotonicNow());
               });
}

void GatewayCall::OnMoved(const StreamMoveResult& result, Time now) {
  if (over_) return;
  const ServerChoice target = move_->target();
  move_ = nullptr;
  if (!result.stopped) {
    Log(LogLevel::kInfo, Event::kCarryRefused,
        {{"id", head_.id.value()},
         {"from", leg_->plan().server.value()},
         {"to", target.id.value()},
         {"end", KvTransferStatusName(result.status)}});
    context_.metrics.Count(GatewayCounter::kMigrationRefused);
    if (leg_ended_) return OnCarryRefused(now);
    tried_.insert(target.id);
    return CarryByMove(now);
  }
  const LegPlan& plan = leg_->plan();
  Log(LogLevel::kInfo, Event::kStreamMoved,
      {{"id", head_.id.value()},
       {"from", plan.server.value()},
       {"to", target.id.value()},
       {"at_source", result.at_source ? "true" : "false"},
       {"copy_ms", std::to_string(ToMilliseconds(result.copied_in))},
       {"stop_ms", std::to_string(ToMilliseconds(result.stopped_for))}});
  const ServerId& to = result.at_source ? plan.server : target.id;
  if (context_.balancer.IsBackingOff(to, now)) {
    // Where the stream could go on, nothing is wanted.
    leg_ended_ = true;
    return OnCarryRefused(now);
  }
  const MigrationSource source{plan.address, result.handle};
  if (result.at_source) {
    return GoOnAt(plan.server, plan.address, source, GatewayCounter::kMigrated,
                  now);
  }
  GoOnAt(target.id, target.address, source, GatewayCounter::kMigrated, now);
}

void GatewayCall::GoOnAt(const ServerId& server, const std::string& address,
                         const MigrationSource& source, GatewayCounter count,
                         Time now) {
  Log(LogLevel::kInfo, Event::kStreamCarried,
      {{"id", head_.id.value()},
       {"from", leg_->plan().server.value()},
       {"to", server.value()},
       {"way", WayName(count)},
       {"event", std::to_string(last_event_.value_or(0))}});
  const ServerRecord* record = context_.balancer.Find(server);
  LegPlan plan = PlanLeg(
      {server, address, record == nullptr ? 0 : record->incarnation, true},
      now);
  // Its memory holds the prompt already.
  plan.load.pending_prefill_tokens = 0;
  next_leg_ = std::make_shared<ServerLeg>(context_, std::move(plan));
  LegEvents events = EventsOf(next_leg_, source);
  const auto self = shared_from_this();
  events.on_unreached = [self] { self->OnCarryRefused(MonotonicNow()); };
  events.on_head = [self, count](const HttpResponse& head,
                                 const ResponseHead& facts) {
    self->OnCarriedHead(head, facts, count);
  };
  // Until the head is taken, all else means a refusal.
  const auto leg = std::weak_ptr<ServerLeg>(next_leg_);
  events.on_body = [self, leg](std::string_view bytes) {
    if (self->leg_ == leg.lock()) self->OnBody(bytes);
  };
  events.on_end = [self, leg](ExchangeEnd end) {
    if (self->leg_ == leg.lock()) return self->OnEnd(end);
    self->OnCarryRefused(MonotonicNow());
  };
  next_leg_->Start(head_.id, now, std::move(events));
}

void GatewayCall::OnCarriedHead(const HttpResponse& head,
                                const ResponseHead& facts,
                                GatewayCounter count) {
  if (over_ || !next_leg_) return;
  answer_facts_ = facts;
  // A refusal is taken when its answer is whole.
  if (!IsStream(head)) return;
  context_.metrics.Count(count);
  ++carried_;
  leaving_ = false;
  // The engine before stops when its connection closes.
  leg_->Cancel();
  leg_ = std::exchange(next_leg_, nullptr);
  leg_ended_ = false;
  streaming_ = true;
  move_tries_ = 0;
  splitter_.DropRest();
}

void GatewayCall::OnCarryRefused(Time now) {
  if (over_) return;
  context_.metrics.Count(GatewayCounter::kMigrationRefused);
  Log(LogLevel::kInfo, Event::kCarryRefused,
      {{"id", head_.id.value()},
       {"from", leg_->plan().server.value()},
       {"to", next_leg_ ? next_leg_->plan().server.value() : std::string()},
       {"end", leg_ended_ ? "source_ended" : "refused"}});
  if (next_leg_) {
    tried_.insert(next_leg_->plan().server);
    next_leg_->Cancel();
    next_leg_ = nullptr;
  }
  if (!leg_ended_) return CarryByMove(now);
  context_.metrics.Count(GatewayCounter::kMigrationFailed);
  OnAttemptEnded(AttemptResult::kIncompleteResponse, now);
}

}  // namespace coltsfootfork

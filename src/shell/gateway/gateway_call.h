#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coltsfootfork/core/gateway/admission.h"
#include "coltsfootfork/core/gateway/gateway_metrics.h"
#include "coltsfootfork/core/gateway/plan_index.h"
#include "coltsfootfork/core/gateway/retry_policy.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/backend_attempt.h"
#include "shell/gateway/gateway_context.h"
#include "shell/gateway/stream_migration.h"
#include "shell/net/event_splitter.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// Handles one request of a caller: finds the route and the workspace,
// dispatches the call to a server, retries on other servers within the retry
// policy, and forwards the response. Migrates a running stream to another
// engine when its engine drains.
class GatewayCall : public std::enable_shared_from_this<GatewayCall> {
 public:
  // `on_finished` is called once, when the outcome of the call is final.
  GatewayCall(GatewayContext& context, HttpRequest request,
              std::shared_ptr<HttpExchange> exchange, Time now,
              std::function<void()> on_finished);

  void Start(Time now);
  // Tries again to serve a held call, after the plan or the directory changed
  // or the hold expired.
  void Resume(Time now);
  // Dispatches or refuses a queued call. Returns false if the call stays queued
  // since no server has capacity for it.
  bool TryDispatchQueued(Time now);
  // Handles the expiry of the queueing time.
  void OnQueueWaitExpired();
  // Handles a drain notice of the server. Returns true if the call needs a
  // migration, to be scheduled by ScheduleMigration.
  bool OnServerDraining(const ServerId& server, Time now);
  // Starts the migration after `copy_delay` if it is still pending. The source
  // stops the stream after `stop_delay` at the earliest.
  void ScheduleMigration(Duration copy_delay, Duration stop_delay);
  // Prepares the migration out of the server's evacuated zone. Returns whether
  // the call is a running stream that can migrate. Its final transfer starts
  // before `until`.
  bool PrepareEvacuation(Time until);
  void MigrateFromEvacuatedZone(Time now);
  // Refuses the call if it waits for its dispatch and may outlast the shutdown
  // of the entry.
  void OnShutdown();
  // Responds to the caller unless the response has started.
  void EndIfUnanswered();
  const RequestId& id() const { return head_.id; }
  // The server of the current attempt; empty if there is none.
  ServerId server() const {
    return attempt_ ? attempt_->plan().server : ServerId();
  }
  bool is_migrating() const {
    return migration_ != nullptr || next_attempt_ != nullptr;
  }

 private:
  struct Refusal {
    CallOutcome outcome;
    int status;
    std::optional<std::chrono::milliseconds> retry_after;
  };

  // Admission.
  void Admit(Time now);
  // Holds the call while the entry lacks a plan or servers. Returns false if
  // the call may not be held any longer.
  bool Hold(Time now);
  std::optional<Refusal> FindRoute();
  std::uint32_t RankFor(const PlanWorkspace* workspace) const;
  void ChooseService();
  // Refuses the call if a part of its prompt is quarantined. Returns whether it
  // was refused.
  bool RefuseIfQuarantined(Time now);
  // Refuses the call if the entry shuts down and the call may outlast it,
  // unless it may have run. Returns whether it was refused.
  bool RefuseIfOutlastsShutdown();
  void StartDeadlineTimer(Time now);

  // Dispatch.
  void DispatchToBestServer(Time now);
  void DispatchTo(const ServerChoice& choice, Time now);
  void EnqueueForAdmission(Time now);
  AttemptPlan PlanAttempt(const ServerChoice& choice, Time now);
  // Chooses the server for KV checkpoints, if the call is to have any.
  void ChooseBackup(AttemptPlan& plan, Time now);
  std::string WriteRequest(const AttemptPlan& plan,
                           const std::optional<MigrationSource>& source);
  AllowedRegions RegionsOfCall() const;
  ServerQuery MakeServerQuery(Time now) const;
  // Returns the time until which a dispatched call can still be on time.
  Time OnTimeUntil() const;
  // Returns the call's rank for the headroom allocation: within a rank of the
  // plan, calls that can still be on time precede late ones.
  std::uint32_t HeadroomRank(Time now) const;
  // Refuses the call if all servers are in evacuated zones or in regions that
  // the call may not use. Returns whether it was refused.
  bool RefuseIfRestricted(const ServerQuery& query);
  // Refuses a call that has not run if each server that could serve it holds
  // too many bytes of requests. Returns whether it was refused.
  bool RefuseIfServersFull(const ServerQuery& query, Time now);
  // Returns the time until the first server accepts calls again if all servers
  // are backing off.
  std::optional<std::chrono::milliseconds> RemainingBackoff(Time now) const;
  void LeaveAdmissionQueue();
  void OnAttemptFailed(AttemptResult result, Time now);
  AttemptHistory HistoryAt(Time now);

  // Response of the current attempt.
  void OnConnectFailed();
  void OnHead(const HttpResponse& head, const ResponseHead& facts);
  void OnBody(std::string_view bytes);
  void OnEnd(ExchangeEnd end);
  void OnStreamEnd(ExchangeEnd end, Time now);
  // Tell the quarantine that the engine wrote a response, or that it broke off
  // while it began one.
  void ReportSurvival(Time now);
  void ReportCrash(Time now);
  void ForwardEvents(std::string_view bytes);
  // Returns whether the stream's events are within the limits of their number
  // and size.
  bool IsWithinSizeLimits() const;
  void AbortOversizedResponse();
  void RecordEventTimes(Time now);
  // Pauses or resumes reading the stream as its caller reads it, or ends the
  // call.
  void PaceStream(Time now);
  // Records the pause before the events for the server's performance, and
  // whether it was late.
  void RecordPauses(std::size_t events, Time now);
  // Reserves more memory for a stream that exceeds its predicted length.
  void UpdatePredictedLength();
  // Returns the number of output tokens so far.
  std::uint64_t OutputTokens() const;
  // Returns whether the end of the current attempt's stream may be due to a
  // migration.
  bool MayBeStopped(ExchangeEnd end) const;
  // Ends the caller's response after a complete stream.
  void FinishStream();
  void ForwardResponse();
  bool IsEventStream(const HttpResponse& head) const;

  // Migration of a running stream.
  bool CanMigrate() const;
  void Migrate(Time now);
  bool TryResumeFromBackup(Time now);
  // Resumes from the full transfer of a migration whose source failed before it
  // stopped the stream.
  bool TryResumeFromCopy(Time now);
  void StartMigration(Time now);
  // Returns whether a stopped stream may be resumed on the server.
  bool MayResumeAt(const ServerId& server, Time now) const;
  void OnKvTransferFinished(const StreamMigrationResult& result, Time now);
  // Sends the call to the server that has a copy of its memory. The new attempt
  // replaces the current one when the server accepts it.
  void ResumeAt(const ServerId& server, const std::string& address,
                const MigrationSource& source, GatewayCounter counter,
                Time now);
  void OnResumedHead(const HttpResponse& head, const ResponseHead& facts,
                     GatewayCounter counter);
  void OnMigrationRefused(Time now);

  // End of the call.
  void Refuse(const Refusal& refusal);
  void AbortStartedResponse(CallOutcome outcome);
  // Returns whether a server may have run the call.
  bool MayHaveRun() const;
  void OnDeadline();
  void OnCallerDisconnected();
  void Finish(CallOutcome outcome, int status);

  AttemptEvents MakeAttemptEvents(
      const std::shared_ptr<BackendAttempt>& attempt,
      std::optional<MigrationSource> source);

  GatewayContext& context_;
  HttpRequest request_;
  std::shared_ptr<HttpExchange> exchange_;
  std::function<void()> on_finished_;
  boost::asio::steady_timer deadline_timer_;
  // Ends a startup hold, or starts a scheduled migration.
  boost::asio::steady_timer delay_timer_;
  Time arrived_at_;
  // Estimated minimum time since the caller's first request.
  Duration retry_age_{0};
  Time deadline_;
  // When the caller stops waiting; `deadline_` may be earlier.
  Time caller_deadline_;
  // Latest end of the startup hold; set when the call is first held.
  std::optional<Time> held_until_;
  // The call is held now. Checked by Resume, since the timer's handler may be
  // queued already when the call is resumed.
  bool held_ = false;

  // The plan that was in force when the call arrived or, for a call held
  // without a route, was last resumed.
  std::shared_ptr<const PlanIndex> plan_;
  CallHead head_;
  const PlanRoute* route_ = nullptr;
  const PlanWorkspace* workspace_ = nullptr;
  const PlanService* service_ = nullptr;
  std::uint32_t rank_ = 0;
  // Predicted peak memory.
  std::uint64_t predicted_tokens_ = 0;
  // The shared parts of the prompt of a call to an engine.
  std::vector<PartKey> prompt_parts_;

  std::shared_ptr<BackendAttempt> attempt_;
  // The attempt to resume the stream on another server, until that server
  // accepts it.
  std::shared_ptr<BackendAttempt> next_attempt_;
  std::shared_ptr<StreamMigration> migration_;
  std::set<ServerId> tried_servers_;
  std::optional<AdmissionQueue::Ticket> queue_ticket_;
  std::uint32_t queued_headroom_rank_ = 0;
  // Dispatched attempts, except those that resume a migrated stream.
  std::uint32_t attempts_ = 0;
  // An earlier attempt may have run.
  bool may_have_run_ = false;
  std::uint32_t migrations_ = 0;
  std::uint32_t migration_attempts_ = 0;
  // A migration does not stop the stream before this time.
  Time earliest_stop_;
  // When the stream must have left its server, which drains or is in an
  // evacuated zone.
  Time leave_by_;
  // The engine drains, and the migration has not started yet.
  bool migration_pending_ = false;
  // Set while the stream is to migrate only because its zone is evacuated: no
  // transfer starts later, and only servers with capacity are targets.
  std::optional<Time> evacuate_until_;

  // Size of the request's head and body.
  std::size_t request_bytes_ = 0;
  // The bytes of the request and of the buffered response.
  HeldBytes held_request_;
  HeldBytes held_response_;
  // Pauses the stream while its caller does not read.
  StreamPacer pacer_;
  boost::asio::steady_timer pace_timer_;
  HttpResponse response_;
  // Bytes of the response body that are reserved in the response buffer budget.
  std::size_t buffered_bytes_ = 0;
  ResponseHead response_facts_;
  bool streaming_ = false;
  // When the head of the current attempt's response arrived; the epoch before.
  Time response_began_at_;
  // The engine has written a response on the prompt without a crash.
  bool survived_ = false;
  // The head of the response was sent to the caller.
  bool response_started_ = false;
  EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t events_received_ = 0;
  // How the last response ended, and the size of the event that its stream
  // left unfinished; for the log.
  std::optional<ExchangeEnd> last_end_;
  std::size_t unfinished_event_bytes_ = 0;
  // The current attempt's stream ended during a migration.
  bool attempt_ended_ = false;
  // The connection of the ended stream closed in order between two events, so
  // that the stream is complete unless its source stopped it.
  bool closed_between_events_ = false;
  // The source stopped the stream for a migration, or may have done so.
  bool source_stopped_ = false;
  bool finished_ = false;

  // When the first attempt started.
  Time first_dispatched_at_;
  // Times of the forwarded events, for the log.
  Time first_event_at_;
  Time last_event_at_;
  PauseSampler pause_sampler_;
  LatePauseSampler late_pause_sampler_;
  Duration longest_pause_{0};
};

}  // namespace coltsfootfork

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
#include "shell/gateway/event_splitter.h"
#include "shell/gateway/gateway_context.h"
#include "shell/gateway/stream_migration.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// One attempt of a caller: finds route and workspace, sends the call to a
// server, to further ones as far as the policy allows, and hands the answer on.
// A running stream whose engine leaves is carried over to another one.
class GatewayCall : public std::enable_shared_from_this<GatewayCall> {
 public:
  // `on_over` is called once, when the answer is settled.
  GatewayCall(GatewayContext& context, HttpRequest request,
              std::shared_ptr<HttpExchange> exchange, Time now,
              std::function<void()> on_finished);

  void Start(Time now);
  // The plan or the servers have changed since the call was held.
  void Resume(Time now);
  // A waiting call finds out whether there is room now.
  bool TryDispatchQueued(Time now);
  // The waiting call's time is over.
  void OnQueueWaitExpired();
  // The server will not serve much longer. True where the call waits for its
  // turn to move.
  bool OnServerDraining(const ServerId& server, Time now);
  // Moves the call when its turn has come, if it still runs where it ran, and
  // stops it there after `stop` at the earliest.
  void ScheduleMigration(Duration turn, Duration stop);
  const RequestId& id() const { return head_.id; }

 private:
  struct Refusal {
    CallOutcome outcome;
    int status;
    std::optional<std::chrono::milliseconds> retry_after;
  };

  // Admission.
  void Admit(Time now);
  // Holds the call while the entry knows too little to serve it; false where
  // that is of no use.
  bool Hold(Time now);
  std::optional<Refusal> FindRoute();
  // Set for what an entry that stops should not begin.
  std::optional<Refusal> ShutdownRefusal() const;
  std::uint32_t RankFor(const PlanWorkspace* workspace) const;
  void ChooseService();
  void StartDeadlineTimer(Time now);

  // Sending.
  void DispatchToBestServer(Time now);
  void DispatchTo(const ServerChoice& choice, Time now);
  // Waits for room, or is refused at once where waiting is of no use.
  void EnqueueForAdmission(Time now);
  AttemptPlan PlanAttempt(const ServerChoice& choice, Time now);
  void ChooseBackup(AttemptPlan& leg, Time now);
  std::string WriteRequest(const AttemptPlan& leg,
                           const std::optional<MigrationSource>& carry);
  ServerQuery MakeServerQuery(Time now) const;
  // Until then the call may be placed and still be answered in time.
  Time OnTimeUntil() const;
  // The call's rank among those that want room: within a rank, calls that can
  // still be in time come first.
  std::uint32_t HeadroomRank(Time now) const;
  // Where all servers have asked for time: until the first takes calls again.
  std::optional<std::chrono::milliseconds> RemainingBackoff(Time now) const;
  // The call no longer waits for room.
  void LeaveAdmissionQueue();
  void OnAttemptFailed(AttemptResult end, Time now);
  AttemptHistory HistoryAt(Time now);

  // The answer of the present leg.
  void OnConnectFailed();
  void OnHead(const HttpResponse& head, const ResponseHead& facts);
  void OnBody(std::string_view bytes);
  void OnEnd(ExchangeEnd end);
  void OnStreamEnd(ExchangeEnd end, Time now);
  void ForwardEvents(std::string_view bytes);
  // Whether the stream is still within what the call can come to.
  bool IsWithinSizeLimits() const;
  // The answer has come to more than it may.
  void AbortOversizedResponse();
  // Keeps the times of the stream's events.
  void RecordEventTimes(Time now);
  // Counts more memory for a stream that becomes longer than expected.
  void UpdatePredictedLength();
  // Output tokens so far.
  std::uint64_t OutputTokens() const;
  void ForwardResponse();
  bool IsEventStream(const HttpResponse& head) const;

  // Carrying a running stream over.
  bool CanMigrate() const;
  void Migrate(Time now);
  bool TryResumeFromBackup(Time now);
  // From the copy that a move has made before the stream could be stopped.
  bool TryResumeFromCopy(Time now);
  void StartMigration(Time now);
  void OnKvTransferFinished(const StreamMigrationResult& result, Time now);
  // Sends the call to where a copy of its memory is; it replaces the present
  // leg once the server has taken it.
  void ResumeAt(const ServerId& server, const std::string& address,
                const MigrationSource& source, GatewayCounter count, Time now);
  void OnResumedHead(const HttpResponse& head, const ResponseHead& facts,
                     GatewayCounter count);
  void OnMigrationRefused(Time now);

  // Ends.
  void Refuse(const Refusal& refusal);
  void AbortStartedResponse(CallOutcome outcome);
  void OnDeadline();
  void OnCallerDisconnected();
  void Finish(CallOutcome outcome, int status);

  AttemptEvents MakeAttemptEvents(const std::shared_ptr<BackendAttempt>& leg,
                                  std::optional<MigrationSource> carry);

  GatewayContext& context_;
  HttpRequest request_;
  std::shared_ptr<HttpExchange> exchange_;
  std::function<void()> on_finished_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer delay_timer_;
  Time arrived_at_;
  // How long the caller had been asking before, at least.
  Duration retry_age_{0};
  Time deadline_;
  Time caller_deadline_;
  // Until when the call may be held, once it is.
  std::optional<Time> held_until_;
  // It is held now. The end of its time may be due already when it goes on.
  bool held_ = false;

  // The plan that was in force when the call came.
  std::shared_ptr<const PlanIndex> plan_;
  CallHead head_;
  const PlanRoute* route_ = nullptr;
  const PlanWorkspace* workspace_ = nullptr;
  const PlanService* service_ = nullptr;
  std::uint32_t rank_ = 0;
  // Memory at the predicted peak.
  std::uint64_t predicted_tokens_ = 0;

  std::shared_ptr<BackendAttempt> attempt_;
  // Where the stream will go on, while it is not taken there yet.
  std::shared_ptr<BackendAttempt> next_attempt_;
  std::shared_ptr<StreamMigration> migration_;
  std::set<ServerId> tried_servers_;
  std::optional<AdmissionQueue::Ticket> queue_ticket_;
  std::uint32_t queued_headroom_rank_ = 0;
  std::uint32_t attempts_ = 0;
  // An earlier leg may have run.
  bool may_have_run_ = false;
  std::uint32_t migrations_ = 0;
  std::uint32_t migration_attempts_ = 0;
  // A move does not stop the stream before this.
  Time earliest_stop_;
  bool migration_pending_ = false;

  HttpResponse response_;
  // Of the answer's body, counted among the held answers.
  std::size_t buffered_bytes_ = 0;
  ResponseHead response_facts_;
  bool streaming_ = false;
  // The caller has the head of the answer.
  bool response_started_ = false;
  EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t events_received_ = 0;
  // The present leg's stream ended while a carry-over is under way.
  bool attempt_ended_ = false;
  bool finished_ = false;

  // When the call was first sent, or started to be.
  Time first_dispatched_at_;
  // What the caller saw of the stream, for the log.
  Time first_event_at_;
  Time last_event_at_;
  Duration longest_pause_{0};
};

}  // namespace coltsfootfork

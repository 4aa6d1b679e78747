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
#include "shell/gateway/event_splitter.h"
#include "shell/gateway/gateway_context.h"
#include "shell/gateway/server_leg.h"
#include "shell/gateway/stream_move.h"
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
              std::function<void()> on_over);

  void Start(Time now);
  // The plan or the servers have changed since the call was held.
  void Resume(Time now);
  // A waiting call finds out whether there is room now.
  bool TryFromWaiting(Time now);
  // The waiting call's time is over.
  void OnWaitedInVain();
  // The server will not serve much longer. True where the call waits for its
  // turn to move.
  bool OnServerLeaving(const ServerId& server, Time now);
  // Moves the call when its turn has come, if it still runs where it ran, and
  // stops it there after `stop` at the earliest.
  void MoveAfter(Duration turn, Duration stop);
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
  std::optional<Refusal> RefusalOfStopping() const;
  std::uint32_t RankFor(const PlanWorkspace* workspace) const;
  void ChooseService();
  void StartDeadline(Time now);

  // Sending.
  void SendToBest(Time now);
  void SendTo(const ServerChoice& choice, Time now);
  // Waits for room, or is refused at once where waiting is of no use.
  void AwaitRoom(Time now);
  LegPlan PlanLeg(const ServerChoice& choice, Time now);
  void ChooseBackup(LegPlan& leg, Time now);
  std::string WriteRequest(const LegPlan& leg,
                           const std::optional<MigrationSource>& carry);
  ServerQuery QueryForServer(Time now) const;
  // Until then the call may be placed and still be answered in time.
  Time InTimeUntil() const;
  // The call's rank among those that want room: within a rank, calls that can
  // still be in time come first.
  std::uint32_t Standing(Time now) const;
  // Where all servers have asked for time: until the first takes calls again.
  std::optional<std::chrono::milliseconds> PauseLeft(Time now) const;
  // The call no longer waits for room.
  void LeaveWaiting();
  void OnAttemptEnded(AttemptResult end, Time now);
  AttemptHistory HistoryAt(Time now);

  // The answer of the present leg.
  void OnUnreached();
  void OnHead(const HttpResponse& head, const ResponseHead& facts);
  void OnBody(std::string_view bytes);
  void OnEnd(ExchangeEnd end);
  void OnStreamEnd(ExchangeEnd end, Time now);
  void ForwardEvents(std::string_view bytes);
  // Whether the stream is still within what the call can come to.
  bool IsWithinBounds() const;
  // The answer has come to more than it may.
  void EndEndless();
  // Keeps the times of the stream's events.
  void NoteEvents(Time now);
  // Counts more memory for a stream that becomes longer than expected.
  void NoteLength();
  // Output tokens so far.
  std::uint64_t Made() const;
  void Deliver();
  bool IsStream(const HttpResponse& head) const;

  // Carrying a running stream over.
  bool MayCarry() const;
  void Carry(Time now);
  bool CarryFromBackup(Time now);
  // From the copy that a move has made before the stream could be stopped.
  bool CarryFromCopy(Time now);
  void CarryByMove(Time now);
  void OnMoved(const StreamMoveResult& result, Time now);
  // Sends the call to where a copy of its memory is; it replaces the present
  // leg once the server has taken it.
  void GoOnAt(const ServerId& server, const std::string& address,
              const MigrationSource& source, GatewayCounter count, Time now);
  void OnCarriedHead(const HttpResponse& head, const ResponseHead& facts,
                     GatewayCounter count);
  void OnCarryRefused(Time now);

  // Ends.
  void Refuse(const Refusal& refusal);
  void AbortAnswer(CallOutcome outcome);
  void OnDeadline();
  void OnCallerDisconnected();
  void Over(CallOutcome outcome, int status);

  LegEvents EventsOf(const std::shared_ptr<ServerLeg>& leg,
                     std::optional<MigrationSource> carry);

  GatewayContext& context_;
  HttpRequest request_;
  std::shared_ptr<HttpExchange> exchange_;
  std::function<void()> on_over_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer move_timer_;
  Time arrived_;
  // How long the caller had been asking before, at least.
  Duration age_{0};
  Time deadline_;
  Time patience_end_;
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
  std::uint64_t tokens_ = 0;

  std::shared_ptr<ServerLeg> leg_;
  // Where the stream will go on, while it is not taken there yet.
  std::shared_ptr<ServerLeg> next_leg_;
  std::shared_ptr<StreamMove> move_;
  std::set<ServerId> tried_;
  std::optional<AdmissionQueue::Ticket> ticket_;
  std::uint32_t waiting_standing_ = 0;
  std::uint32_t sends_ = 0;
  // An earlier leg may have run.
  bool ran_ = false;
  std::uint32_t carried_ = 0;
  std::uint32_t move_tries_ = 0;
  // A move does not stop the stream before this.
  Time stop_at_;
  bool leaving_ = false;

  HttpResponse answer_;
  // Of the answer's body, counted among the held answers.
  std::size_t held_bytes_ = 0;
  ResponseHead answer_facts_;
  bool streaming_ = false;
  // The caller has the head of the answer.
  bool answer_begun_ = false;
  EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_seen_ = 0;
  // The present leg's stream ended while a carry-over is under way.
  bool leg_ended_ = false;
  bool over_ = false;

  // When the call was first sent, or started to be.
  Time sent_at_;
  // What the caller saw of the stream, for the log.
  Time first_event_at_;
  Time last_event_at_;
  Duration longest_pause_{0};
};

}  // namespace coltsfootfork

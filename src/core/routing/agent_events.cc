#include "core/routing/agent_events.h"

#include <variant>

#include "coltsfootfork/core/stream/stored_generation.h"
#include "core/routing/request_dispatch.h"
#include "core/routing/request_ending.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

// Whether another server may take what one has refused with the reason.
bool OthersMayTake(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kUnauthenticated:
    case Reason::kRequestTooLarge:
    case Reason::kWorkspaceRequestLimit:
    case Reason::kWorkspaceTokenLimit:
    case Reason::kWorkspaceStreamLimit:
      return false;
    default:
      return true;
  }
}

// Takes one agent's messages about requests and its server.
class MessageVisitor {
 public:
  MessageVisitor(EntryState* state, ServerIndex server, Time now)
      : state_(state), server_(server), now_(now) {}

  void operator()(const TokenFrame& frame) const {
    RequestRow* row = LiveRow(frame.request, frame.generation);
    if (row == nullptr) {
      // Its agent runs something that nobody waits for.
      SendToServer(state_, server_,
                   CancelRequest{frame.request, frame.generation});
      return;
    }
    switch (row->sequencer.Accept(frame.generation, frame.index)) {
      case FrameVerdict::kForward:
        Forward(row, frame);
        return;
      case FrameVerdict::kDuplicate:
        Count(state_, *row, Reason::kDuplicateFrame);
        return;
      case FrameVerdict::kGap:
        OnMissingFrame(row);
        return;
      case FrameVerdict::kStale:
        Count(state_, *row, Reason::kStaleGeneration);
        return;
    }
  }

  void operator()(const RequestCompleted& completed) const {
    RequestRow* row = LiveRow(completed.request, completed.generation);
    if (row == nullptr) return;
    if (row->call.kind == RequestKind::kPlainCall) {
      EndWithAnswer(state_, row,
                    {completed.status, completed.content_type, completed.body});
    } else {
      OnGenerationCompleted(row, completed);
    }
  }

  void operator()(const RequestRefused& refused) const {
    RequestRow* row = LiveRow(refused.request, refused.generation);
    if (row == nullptr) return;
    if (row->life.state() != StreamState::kDispatched) {
      // The stream has begun, so only its resume can have been refused.
      EndIncomplete(row, refused.reason);
      return;
    }
    --row->unproved_dispatches;
    const DispatchFailure failure{refused.reason, refused.retry_after, true};
    if (OthersMayTake(refused.reason)) {
      DispatchAgain(state_, row, failure, now_);
    } else {
      EndWithProblem(state_, row, refused.reason, refused.retry_after, now_);
    }
  }

  void operator()(const RequestInterrupted& interrupted) const {
    RequestRow* row = LiveRow(interrupted.request, interrupted.generation);
    if (row == nullptr) return;
    if (row->life.state() == StreamState::kDispatched) {
      OnLostBeforeFirstToken(state_, row, interrupted.reason, now_);
    } else if (interrupted.resumable) {
      Count(state_, *row, interrupted.reason);
      AskResume(state_, row, now_);
    } else {
      EndIncomplete(row, interrupted.reason);
    }
  }

  void operator()(const ServerReport& report) const {
    const bool was_eligible = state_->servers.Eligible(server_, now_);
    if (state_->servers.ApplyReport(server_, report, now_)) {
      state_->hints.Forget(server_);
    }
    if (was_eligible || !state_->servers.Eligible(server_, now_)) return;
    DispatchWaiting(state_, now_);
  }

  void operator()(const CacheHint& hint) const {
    state_->hints.Apply(server_, hint);
  }

 private:
  // The row whose live generation this is, on this server; otherwise null,
  // and the message is counted as stale.
  RequestRow* LiveRow(const RequestId& request, Generation generation) const {
    RequestRow* row = state_->requests.Find(request);
    if (row == nullptr) {
      state_->effects.emplace_back(
          CountReason{Reason::kStaleGeneration, Rank::kDeferrable, {}});
      return nullptr;
    }
    if (row->server == server_ && row->sequencer.generation() == generation) {
      return row;
    }
    Count(state_, *row, Reason::kStaleGeneration);
    return nullptr;
  }

  void Forward(RequestRow* row, const TokenFrame& frame) const {
    if (row->sequencer.next_index() == 1) DropPrompt(row);
    row->life.Apply(StreamEvent::kTokenDelivered);
    row->resumes = 0;
    state_->shares.OnToken(row->call.workspace, now_);
    Keep(row, frame.text);
    row->last_token = now_;
    state_->requests.SetDeadline(row,
                                 now_ + state_->options.retry.agent_silence);
    if (row->caller.gone) return;
    state_->effects.emplace_back(
        DeliverToken{frame.request, frame.index, frame.text});
  }

  // A begun stream is never handed over anew, so its prompt is not needed.
  static void DropPrompt(RequestRow* row) {
    std::string().swap(row->call.body);
    std::vector<std::uint64_t>().swap(row->call.prefix_blocks);
  }

  static void Keep(RequestRow* row, const std::string& text) {
    if (row->claim != ClaimStage::kHeld || row->kept.overflowed) return;
    if (row->kept.text.size() + text.size() <= kStoredTextLimit) {
      row->kept.text += text;
      return;
    }
    row->kept = {{}, true};
  }

  void OnMissingFrame(RequestRow* row) const {
    Count(state_, *row, Reason::kFrameGap);
    switch (row->life.state()) {
      case StreamState::kDispatched:
        OnLostBeforeFirstToken(state_, row, Reason::kStreamIncomplete, now_);
        return;
      case StreamState::kStreaming:
        AskResume(state_, row, now_);
        return;
      default:
        // The missing frames have been asked for.
        return;
    }
  }

  void OnGenerationCompleted(RequestRow* row,
                             const RequestCompleted& completed) const {
    if (completed.status >= kFirstErrorStatus) {
      const bool caller_fault = completed.status < kFirstServerErrorStatus;
      EndWithProblem(state_, row,
                     caller_fault ? Reason::kBadRequest : Reason::kServerError,
                     milliseconds{0}, now_);
      return;
    }
    const std::uint32_t delivered = row->sequencer.next_index();
    if (completed.token_count == delivered) {
      EndWhole(state_, row, completed);
    } else if (completed.token_count < delivered) {
      EndIncomplete(row, Reason::kServerError);
    } else {
      OnMissingFrame(row);
    }
  }

  void EndIncomplete(RequestRow* row, Reason cause) const {
    Count(state_, *row, cause);
    EndWithProblem(state_, row, Reason::kStreamIncomplete,
                   state_->options.retry.default_retry_after, now_);
  }

  EntryState* state_;
  ServerIndex server_;
  Time now_;
};

}  // namespace

void OnAgentConnected(EntryState* state, const ProcessId& agent, Time now) {
  const ServerIndex server = state->servers.Ensure(agent);
  // A link that replaces another one has lost what was on its way.
  if (state->servers.row(server).link_up)
    OnAgentDisconnected(state, agent, now);
  state->servers.SetLink(server, true);
  for (const RequestId& request : state->requests.OnServer(server)) {
    AskResume(state, state->requests.Find(request), now);
  }
}

void OnAgentDisconnected(EntryState* state, const ProcessId& agent, Time now) {
  const auto server = state->servers.Find(agent);
  if (!server.has_value() || !state->servers.row(*server).link_up) return;
  state->servers.SetLink(*server, false);
  for (const RequestId& request : state->requests.OnServer(*server)) {
    RequestRow* row = state->requests.Find(request);
    if (row->life.state() == StreamState::kDispatched) {
      OnLostBeforeFirstToken(state, row, Reason::kAgentLost, now);
      continue;
    }
    Count(state, *row, Reason::kAgentLost);
    row->life.Apply(StreamEvent::kResumeRequested);
    state->requests.SetDeadline(row, now + state->options.retry.resume_wait);
  }
}

void OnAgentMessage(EntryState* state, const AgentMessage& message, Time now) {
  const ServerIndex server = state->servers.Ensure(message.agent);
  std::visit(MessageVisitor(state, server, now), message.message);
}

}  // namespace coltsfootfork

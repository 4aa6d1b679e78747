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

// Returns true if a request refused for this reason may be retried on another
// server.
bool IsRetryableElsewhere(Reason reason) {
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

// Handles the messages of one agent about requests and its server.
class AgentMessageVisitor {
 public:
  AgentMessageVisitor(EntryState* state, ServerIndex server, Time now)
      : state_(state), server_(server), now_(now) {}

  void operator()(const TokenFrame& frame) const {
    RequestRow* row = FindLiveRow(frame.request, frame.generation);
    if (row == nullptr) {
      // The agent runs a generation that is no longer needed.
      SendToServer(state_, server_,
                   CancelRequest{frame.request, frame.generation});
      return;
    }
    switch (row->sequencer.Accept(frame.generation, frame.index)) {
      case FrameVerdict::kForward:
        ForwardToken(row, frame);
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
    RequestRow* row = FindLiveRow(completed.request, completed.generation);
    if (row == nullptr) return;
    if (row->call.kind == RequestKind::kPlainCall) {
      EndWithResponse(
          state_, row,
          {completed.status, completed.content_type, completed.body});
    } else {
      OnGenerationCompleted(row, completed);
    }
  }

  void operator()(const RequestRefused& refused) const {
    RequestRow* row = FindLiveRow(refused.request, refused.generation);
    if (row == nullptr) return;
    if (row->lifecycle.state() != StreamState::kDispatched) {
      // The stream has started, so the refusal answers a resume.
      EndIncompleteStream(row, refused.reason);
      return;
    }
    --row->possible_runs;
    const DispatchFailure failure{refused.reason, refused.retry_after, true};
    if (IsRetryableElsewhere(refused.reason)) {
      RetryDispatch(state_, row, failure, now_);
    } else {
      EndWithProblem(state_, row, refused.reason, refused.retry_after, now_);
    }
  }

  void operator()(const RequestInterrupted& interrupted) const {
    RequestRow* row = FindLiveRow(interrupted.request, interrupted.generation);
    if (row == nullptr) return;
    if (row->lifecycle.state() == StreamState::kDispatched) {
      OnLostBeforeFirstToken(state_, row, interrupted.reason, now_);
    } else if (interrupted.resumable) {
      Count(state_, *row, interrupted.reason);
      RequestResume(state_, row, now_);
    } else {
      EndIncompleteStream(row, interrupted.reason);
    }
  }

  void operator()(const ServerReport& report) const {
    const bool was_eligible = state_->servers.Eligible(server_, now_);
    if (state_->servers.ApplyReport(server_, report, now_)) {
      state_->hints.Forget(server_);
    }
    if (was_eligible || !state_->servers.Eligible(server_, now_)) return;
    DispatchQueued(state_, now_);
  }

  void operator()(const CacheHint& hint) const {
    state_->hints.Apply(server_, hint);
  }

 private:
  // Returns the request's row if `generation` is its live generation on this
  // server. Otherwise counts the message as stale and returns null.
  RequestRow* FindLiveRow(const RequestId& request,
                          Generation generation) const {
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

  void ForwardToken(RequestRow* row, const TokenFrame& frame) const {
    if (row->sequencer.next_index() == 1) ReleasePrompt(row);
    row->lifecycle.Apply(StreamEvent::kTokenDelivered);
    row->resumes = 0;
    state_->shares.OnToken(row->call.workspace, now_);
    AppendResponseText(row, frame.text);
    row->last_token_at = now_;
    state_->requests.SetDeadline(row,
                                 now_ + state_->options.retry.agent_silence);
    if (row->caller.disconnected) return;
    state_->effects.emplace_back(
        DeliverToken{frame.request, frame.index, frame.text});
  }

  // Frees the prompt: a stream that has started is only resumed, never
  // dispatched again.
  static void ReleasePrompt(RequestRow* row) {
    std::string().swap(row->call.body);
    std::vector<std::uint64_t>().swap(row->call.prefix_blocks);
  }

  static void AppendResponseText(RequestRow* row, const std::string& text) {
    if (row->claim != ClaimStage::kHeld || row->response_text.overflowed) {
      return;
    }
    if (row->response_text.text.size() + text.size() <= kStoredTextLimit) {
      row->response_text.text += text;
      return;
    }
    row->response_text = {{}, true};
  }

  void OnMissingFrame(RequestRow* row) const {
    Count(state_, *row, Reason::kFrameGap);
    switch (row->lifecycle.state()) {
      case StreamState::kDispatched:
        OnLostBeforeFirstToken(state_, row, Reason::kStreamIncomplete, now_);
        return;
      case StreamState::kStreaming:
        RequestResume(state_, row, now_);
        return;
      default:
        // A resume has already requested the missing frames.
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
      EndWithCompletion(state_, row, completed);
    } else if (completed.token_count < delivered) {
      EndIncompleteStream(row, Reason::kServerError);
    } else {
      OnMissingFrame(row);
    }
  }

  void EndIncompleteStream(RequestRow* row, Reason cause) const {
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
  const ServerIndex server = state->servers.FindOrAdd(agent);
  // The new link replaces one whose messages in flight are lost.
  if (state->servers.row(server).link_up) {
    OnAgentDisconnected(state, agent, now);
  }
  state->servers.SetLink(server, true);
  for (const RequestId& request : state->requests.OnServer(server)) {
    RequestResume(state, state->requests.Find(request), now);
  }
}

void OnAgentDisconnected(EntryState* state, const ProcessId& agent, Time now) {
  const auto server = state->servers.Find(agent);
  if (!server.has_value() || !state->servers.row(*server).link_up) return;
  state->servers.SetLink(*server, false);
  for (const RequestId& request : state->requests.OnServer(*server)) {
    RequestRow* row = state->requests.Find(request);
    if (row->lifecycle.state() == StreamState::kDispatched) {
      OnLostBeforeFirstToken(state, row, Reason::kAgentLost, now);
      continue;
    }
    Count(state, *row, Reason::kAgentLost);
    row->lifecycle.Apply(StreamEvent::kResumeRequested);
    state->requests.SetDeadline(row, now + state->options.retry.resume_wait);
  }
}

void OnAgentMessage(EntryState* state, const AgentMessage& message, Time now) {
  const ServerIndex server = state->servers.FindOrAdd(message.agent);
  std::visit(AgentMessageVisitor(state, server, now), message.message);
}

}  // namespace coltsfootfork

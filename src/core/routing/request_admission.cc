#include "core/routing/request_admission.h"

#include <chrono>

#include "core/routing/request_dispatch.h"
#include "core/routing/request_ending.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kNoRetry{0};

bool RefuseIfNotServing(EntryState* state, const CallerRequest& call) {
  const auto retry_after = state->options.retry.default_retry_after;
  if (state->stopping) {
    RefuseNewRequest(state, call, Rank::kDeferrable, Reason::kStopping,
                     retry_after);
    return true;
  }
  if (!state->rules.has_value()) {
    RefuseNewRequest(state, call, Rank::kDeferrable, Reason::kNotConfigured,
                     retry_after);
    return true;
  }
  return false;
}

void RequestClaim(EntryState* state, RequestRow* row, Time now) {
  const CallerRequest& call = row->call;
  row->claim = ClaimStage::kRequested;
  row->lifecycle.Apply(StreamEvent::kClaimRequested);
  state->effects.emplace_back(
      BeginClaim{call.request,
                 {{call.workspace, call.idempotency_key},
                  call.request_digest,
                  call.request}});
  state->requests.SetDeadline(row, now + state->options.retry.claim_timeout);
}

// A plain call with an idempotency key runs at most once, even if no rule
// requires it.
bool RunsAtMostOnce(const CallerRequest& call, const ServingRules& rules) {
  const bool keyed = !call.idempotency_key.empty();
  return (keyed && call.kind == RequestKind::kPlainCall) ||
         rules.IsNonIdempotent(call.service, call.method, call.target);
}

WorkspaceLimits LimitsOf(const WorkspaceId& workspace,
                         const ServingRules& rules) {
  const Workspace* found = rules.FindWorkspace(workspace);
  return found == nullptr ? WorkspaceLimits() : found->limits;
}

// Refuses a request of an unknown service or over a workspace limit. Returns
// true if the request was refused.
bool RefuseIfNotAllowed(EntryState* state, const CallerRequest& call, Rank rank,
                        Time now) {
  if (state->rules->FindService(call.service) == nullptr) {
    RefuseNewRequest(state, call, rank, Reason::kUnknownService, kNoRetry);
    return true;
  }
  const LimitRefusal refusal =
      state->shares.Admit({call.workspace, call.kind, call.prompt_tokens},
                          LimitsOf(call.workspace, *state->rules), now);
  if (refusal.reason == Reason::kNone) return false;
  RefuseNewRequest(state, call, rank, refusal.reason, refusal.retry_after);
  return true;
}

void OnClaimGranted(EntryState* state, RequestRow* row, Time now) {
  row->claim = ClaimStage::kHeld;
  row->lifecycle.Apply(StreamEvent::kClaimGranted);
  if (row->caller.disconnected) {
    EndForDisconnectedCaller(state, row, now);
    return;
  }
  TryDispatch(state, row, now);
}

void OnClaimWithoutQuorum(EntryState* state, RequestRow* row, Time now) {
  // The claim may have been committed despite the missing quorum. Settling it
  // as not run allows the key to be claimed again.
  row->claim = ClaimStage::kHeld;
  EndWithProblem(state, row, Reason::kNoQuorum,
                 state->options.retry.default_retry_after, now);
}

}  // namespace

void OnCallerRequest(EntryState* state, const CallerRequest& call, Time now) {
  if (RefuseIfNotServing(state, call)) return;
  const ServingRules& rules = *state->rules;
  const Rank rank = rules.RankOf(call.workspace, call.service);
  // Responses to two requests with the same ID could not be distinguished.
  if (state->requests.Find(call.request) != nullptr) {
    state->effects.emplace_back(
        CountReason{Reason::kBadRequest, rank, call.service});
    return;
  }
  if (RefuseIfNotAllowed(state, call, rank, now)) return;
  RequestRow* row = state->requests.Add(call, now);
  row->rank = rank;
  row->target = rules.TargetOf(rank);
  row->at_most_once = RunsAtMostOnce(call, rules);
  if (call.idempotency_key.empty()) {
    TryDispatch(state, row, now);
  } else {
    RequestClaim(state, row, now);
  }
}

void OnClaimReplied(EntryState* state, const ClaimReplied& replied, Time now) {
  RequestRow* row = state->requests.Find(replied.request);
  if (row == nullptr || row->claim != ClaimStage::kRequested) return;
  row->claim = ClaimStage::kNone;
  switch (replied.reply.verdict) {
    case ClaimVerdict::kGranted:
      OnClaimGranted(state, row, now);
      return;
    case ClaimVerdict::kDone:
      EndWithStoredResponse(state, row, replied.reply.answer);
      return;
    case ClaimVerdict::kInProgress:
      EndAsDuplicate(state, row, Reason::kClaimInProgress,
                     state->options.retry.default_retry_after);
      return;
    case ClaimVerdict::kOutcomeUnknown:
      EndAsDuplicate(state, row, Reason::kClaimOutcomeUnknown, kNoRetry);
      return;
    case ClaimVerdict::kKeyReused:
      EndWithProblem(state, row, Reason::kIdempotencyKeyReused, kNoRetry, now);
      return;
    case ClaimVerdict::kNoQuorum:
      OnClaimWithoutQuorum(state, row, now);
      return;
  }
}

}  // namespace coltsfootfork

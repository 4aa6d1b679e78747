#include "core/routing/request_admission.h"

#include <chrono>

#include "core/routing/request_dispatch.h"
#include "core/routing/request_ending.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kNoRetry{0};

bool RefusedByState(EntryState* state, const CallerRequest& call) {
  const auto retry_after = state->options.retry.default_retry_after;
  if (state->stopping) {
    RefuseAtOnce(state, call, Rank::kDeferrable, Reason::kStopping,
                 retry_after);
    return true;
  }
  if (!state->rules.has_value()) {
    RefuseAtOnce(state, call, Rank::kDeferrable, Reason::kNotConfigured,
                 retry_after);
    return true;
  }
  return false;
}

void AskForClaim(EntryState* state, RequestRow* row, Time now) {
  const CallerRequest& call = row->call;
  row->claim = ClaimStage::kAsked;
  row->life.Apply(StreamEvent::kClaimRequested);
  state->effects.emplace_back(
      BeginClaim{call.request,
                 {{call.workspace, call.idempotency_key},
                  call.request_digest,
                  call.request}});
  state->requests.SetDeadline(row, now + state->options.retry.claim_timeout);
}

// A key on a plain call says that its caller counts on one run, whatever the
// rules say.
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

// Whether the request is refused for what it is or who sends it.
bool RefusedByRules(EntryState* state, const CallerRequest& call, Rank rank,
                    Time now) {
  if (state->rules->FindService(call.service) == nullptr) {
    RefuseAtOnce(state, call, rank, Reason::kUnknownService, kNoRetry);
    return true;
  }
  const LimitRefusal refusal =
      state->shares.Admit({call.workspace, call.kind, call.prompt_tokens},
                          LimitsOf(call.workspace, *state->rules), now);
  if (refusal.reason == Reason::kNone) return false;
  RefuseAtOnce(state, call, rank, refusal.reason, refusal.retry_after);
  return true;
}

void OnGranted(EntryState* state, RequestRow* row, Time now) {
  row->claim = ClaimStage::kHeld;
  row->life.Apply(StreamEvent::kClaimGranted);
  if (row->caller.gone) {
    EndWithoutCaller(state, row, now);
    return;
  }
  TryDispatch(state, row, now);
}

void OnNoQuorum(EntryState* state, RequestRow* row, Time now) {
  // The claim may have been committed all the same. Settled like this it can
  // be asked for again.
  row->claim = ClaimStage::kHeld;
  EndWithProblem(state, row, Reason::kNoQuorum,
                 state->options.retry.default_retry_after, now);
}

}  // namespace

void OnCallerRequest(EntryState* state, const CallerRequest& call, Time now) {
  if (RefusedByState(state, call)) return;
  const ServingRules& rules = *state->rules;
  const Rank rank = rules.RankOf(call.workspace, call.service);
  // Two requests of one name could not be answered apart.
  if (state->requests.Find(call.request) != nullptr) {
    state->effects.emplace_back(
        CountReason{Reason::kBadRequest, rank, call.service});
    return;
  }
  if (RefusedByRules(state, call, rank, now)) return;
  RequestRow* row = state->requests.Add(call, now);
  row->rank = rank;
  row->target = rules.TargetOf(rank);
  row->at_most_once = RunsAtMostOnce(call, rules);
  if (call.idempotency_key.empty()) {
    TryDispatch(state, row, now);
  } else {
    AskForClaim(state, row, now);
  }
}

void OnClaimReplied(EntryState* state, const ClaimReplied& answered, Time now) {
  RequestRow* row = state->requests.Find(answered.request);
  if (row == nullptr || row->claim != ClaimStage::kAsked) return;
  row->claim = ClaimStage::kNone;
  switch (answered.reply.verdict) {
    case ClaimVerdict::kGranted:
      OnGranted(state, row, now);
      return;
    case ClaimVerdict::kDone:
      EndWithStored(state, row, answered.reply.answer);
      return;
    case ClaimVerdict::kInProgress:
      EndAsClaimed(state, row, Reason::kClaimInProgress,
                   state->options.retry.default_retry_after);
      return;
    case ClaimVerdict::kOutcomeUnknown:
      EndAsClaimed(state, row, Reason::kClaimOutcomeUnknown, kNoRetry);
      return;
    case ClaimVerdict::kKeyReused:
      EndWithProblem(state, row, Reason::kIdempotencyKeyReused, kNoRetry, now);
      return;
    case ClaimVerdict::kNoQuorum:
      OnNoQuorum(state, row, now);
      return;
  }
}

}  // namespace coltsfootfork

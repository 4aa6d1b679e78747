#include "core/routing/request_admission.h"

#include <chrono>

#include "core/routing/request_dispatch.h"
#include "core/routing/request_ending.h"
#include "core/routing/request_rules.h"

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
  if (state->configuration == nullptr) {
    RefuseAtOnce(state, call, Rank::kDeferrable, Reason::kNotConfigured,
                 retry_after);
    return true;
  }
  return false;
}

void AskForClaim(EntryState* state, RequestRow* row, Time now) {
  const CallerRequest& call = row->call;
  row->claim = ClaimStage::kAsked;
  row->life.Apply(StreamEvent::kClaimAsked);
  state->effects.emplace_back(AskClaim{call.request,
                                       {{call.workspace, call.idempotency_key},
                                        call.request_digest,
                                        call.request}});
  state->requests.SetDeadline(row, now + state->options.retry.claim_timeout);
}

// A key on a plain call says that its caller counts on one run, whatever the
// rules say.
bool RunsAtMostOnce(const CallerRequest& call, const RequestRules& rules) {
  const bool keyed = !call.idempotency_key.empty();
  return rules.non_idempotent ||
         (keyed && call.kind == RequestKind::kPlainCall);
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
  const RequestRules rules =
      LookUpRules(*state->configuration,
                  {call.workspace, call.service, call.method, call.target});
  if (!rules.known_service) {
    RefuseAtOnce(state, call, rules.rank, Reason::kUnknownService, kNoRetry);
    return;
  }
  // Two requests of one name could not be answered apart.
  if (state->requests.Find(call.request) != nullptr) {
    state->effects.emplace_back(
        CountReason{Reason::kBadRequest, rules.rank, call.service});
    return;
  }
  const LimitRefusal refusal = state->shares.Admit(
      {call.workspace, call.kind, call.prompt_tokens}, rules.limits, now);
  if (refusal.reason != Reason::kNone) {
    RefuseAtOnce(state, call, rules.rank, refusal.reason, refusal.retry_after);
    return;
  }
  RequestRow* row = state->requests.Add(call, now);
  row->rank = rules.rank;
  row->target = rules.target;
  row->at_most_once = RunsAtMostOnce(call, rules);
  if (call.idempotency_key.empty()) {
    TryDispatch(state, row, now);
  } else {
    AskForClaim(state, row, now);
  }
}

void OnClaimAnswered(EntryState* state, const ClaimAnswered& answered,
                     Time now) {
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

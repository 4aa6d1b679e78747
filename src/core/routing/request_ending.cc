#include "core/routing/request_ending.h"

#include <utility>

#include "coltsfootfork/core/stream/stored_generation.h"

namespace coltsfootfork {
namespace {

void Settle(EntryState* state, RequestRow* row, ClaimOutcome outcome,
            StoredResponse answer) {
  if (row->claim != ClaimStage::kHeld) return;
  row->claim = ClaimStage::kNone;
  state->effects.emplace_back(
      SettleClaim{{{row->call.workspace, row->call.idempotency_key},
                   row->call.request,
                   outcome,
                   std::move(answer)}});
}

void SettleWithoutResponse(EntryState* state, RequestRow* row) {
  const bool not_run = row->possible_runs == 0;
  Settle(state, row, not_run ? ClaimOutcome::kNotRun : ClaimOutcome::kUnknown,
         {});
}

void CloseRequest(EntryState* state, RequestRow* row) {
  ReleaseServer(state, row);
  state->shares.OnEnded(row->call.workspace, row->call.kind);
  row->lifecycle.Apply(StreamEvent::kEnded);
  state->requests.Remove(RequestId(row->call.request));
}

// Keeps the row until the claim's reply arrives, so that the claim can be
// settled. Otherwise the key would stay claimed by a request that never ran.
void AwaitAbandonedClaim(EntryState* state, RequestRow* row, Time now) {
  MarkCallerDisconnected(state, row);
  state->requests.SetDeadline(
      row, now + state->options.retry.abandoned_claim_timeout);
}

}  // namespace

void MarkCallerDisconnected(EntryState* state, RequestRow* row) {
  row->caller.disconnected = true;
  state->requests.SetCallerStallDeadline(row, Time::max());
}

void RefuseNewRequest(EntryState* state, const CallerRequest& call, Rank rank,
                      Reason reason, std::chrono::milliseconds retry_after) {
  state->effects.emplace_back(CountReason{reason, rank, call.service});
  state->effects.emplace_back(
      DeliverProblem{call.request, reason, true, retry_after});
}

void EndWithProblem(EntryState* state, RequestRow* row, Reason reason,
                    std::chrono::milliseconds retry_after, Time now) {
  Count(state, *row, reason);
  if (!row->caller.disconnected) {
    const bool not_run = row->possible_runs == 0;
    state->effects.emplace_back(
        DeliverProblem{row->call.request, reason, not_run, retry_after});
  }
  if (row->claim == ClaimStage::kRequested) {
    AwaitAbandonedClaim(state, row, now);
    return;
  }
  SettleWithoutResponse(state, row);
  CloseRequest(state, row);
}

void EndAsDuplicate(EntryState* state, RequestRow* row, Reason reason,
                    std::chrono::milliseconds retry_after) {
  Count(state, *row, reason);
  if (!row->caller.disconnected) {
    state->effects.emplace_back(
        DeliverProblem{row->call.request, reason, false, retry_after});
  }
  CloseRequest(state, row);
}

void EndWithCompletion(EntryState* state, RequestRow* row,
                       const RequestCompleted& completed) {
  state->budgets.at(RankIndex(row->rank)).OnSuccess();
  if (!row->caller.disconnected) {
    state->effects.emplace_back(DeliverEnd{
        row->call.request, completed.finish_reason, completed.token_count});
  }
  if (row->response_text.overflowed) {
    Settle(state, row, ClaimOutcome::kUnknown, {});
  } else {
    Settle(state, row, ClaimOutcome::kDone,
           PackGeneration({row->response_text.text, completed.finish_reason,
                           completed.token_count}));
  }
  CloseRequest(state, row);
}

void EndWithResponse(EntryState* state, RequestRow* row,
                     StoredResponse answer) {
  state->budgets.at(RankIndex(row->rank)).OnSuccess();
  if (!row->caller.disconnected) {
    state->effects.emplace_back(DeliverResponse{row->call.request, answer});
  }
  Settle(state, row, ClaimOutcome::kDone, std::move(answer));
  CloseRequest(state, row);
}

void EndWithStoredResponse(EntryState* state, RequestRow* row,
                           const StoredResponse& answer) {
  const auto generation = UnpackGeneration(answer);
  const RequestId& request = row->call.request;
  if (row->caller.disconnected) {
    // The caller has disconnected; there is nothing to deliver.
  } else if (!generation.has_value()) {
    state->effects.emplace_back(DeliverResponse{request, answer});
  } else {
    if (!generation->text.empty()) {
      state->effects.emplace_back(DeliverToken{request, 0, generation->text});
    }
    state->effects.emplace_back(DeliverEnd{request, generation->finish_reason,
                                           generation->token_count});
  }
  CloseRequest(state, row);
}

void EndForDisconnectedCaller(EntryState* state, RequestRow* row, Time now) {
  if (row->claim == ClaimStage::kRequested) {
    AwaitAbandonedClaim(state, row, now);
    return;
  }
  CancelAtAgent(state, *row);
  SettleWithoutResponse(state, row);
  CloseRequest(state, row);
}

void Count(EntryState* state, const RequestRow& row, Reason reason) {
  state->effects.emplace_back(CountReason{reason, row.rank, row.call.service});
}

void ReleaseServer(EntryState* state, RequestRow* row) {
  if (!row->server.has_value()) return;
  state->servers.OnReleased(*row->server, row->rank);
  row->server.reset();
}

void CancelAtAgent(EntryState* state, const RequestRow& row) {
  if (!row.server.has_value()) return;
  SendToServer(state, *row.server,
               CancelRequest{row.call.request, row.sequencer.generation()});
}

void SendToServer(EntryState* state, ServerIndex server, EntryToAgent message) {
  const ServerRow& row = state->servers.row(server);
  if (!row.link_up) return;
  state->effects.emplace_back(SendToAgent{row.agent, std::move(message)});
}

}  // namespace coltsfootfork

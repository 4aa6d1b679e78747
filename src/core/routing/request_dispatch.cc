#include "core/routing/request_dispatch.h"

#include <algorithm>

#include "core/routing/request_ending.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

milliseconds RemainingStartTime(const RequestRow& row, Time now) {
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - row.arrived_at);
  return std::max(milliseconds{0}, row.target.start_within - elapsed);
}

// A request that moves off a draining server, or off a server that failed
// before running it, still runs only once and does not multiply the load.
bool IsExemptFromRetryBudget(const DispatchFailure& failure) {
  switch (failure.reason) {
    case Reason::kServerDraining:
    case Reason::kStopping:
    case Reason::kReclaimMove:
      return true;
    case Reason::kServerLost:
      return failure.refused;
    default:
      return false;
  }
}

Choice ChooseServer(EntryState* state, const RequestRow& row, Time now) {
  ChoiceQuery query;
  query.service = row.call.service;
  query.rank = row.rank;
  query.prompt_tokens = row.call.prompt_tokens;
  query.prefix_blocks = &row.call.prefix_blocks;
  query.start_within = RemainingStartTime(row, now);
  query.avoid = row.avoid;
  return state->chooser.Choose(query, state->servers, state->hints, now);
}

Dispatch MakeDispatch(const RequestRow& row, Time now) {
  Dispatch dispatch;
  dispatch.request = row.call.request;
  dispatch.generation = row.sequencer.generation();
  dispatch.workspace = row.call.workspace;
  dispatch.service = row.call.service;
  dispatch.rank = row.rank;
  dispatch.kind = row.call.kind;
  dispatch.method = row.call.method;
  dispatch.target = row.call.target;
  dispatch.content_type = row.call.content_type;
  dispatch.body = row.call.body;
  dispatch.prompt_tokens = row.call.prompt_tokens;
  dispatch.max_output_tokens = row.call.max_output_tokens;
  dispatch.prefix_blocks = row.call.prefix_blocks;
  dispatch.first_index = row.sequencer.next_index();
  dispatch.non_idempotent = row.at_most_once;
  dispatch.start_within = RemainingStartTime(row, now);
  return dispatch;
}

void DispatchTo(EntryState* state, RequestRow* row, const Choice& choice,
                Time now) {
  const ServerIndex server = *choice.server;
  row->sequencer.StartNextGeneration();
  row->lifecycle.Apply(StreamEvent::kRequestDispatched);
  row->server = server;
  ++row->dispatches;
  ++row->possible_runs;
  state->servers.OnDispatched(server, row->rank);
  state->servers.RecordDispatch(server, row->rank, choice.work, now);
  state->hints.AddExpected(server, row->call.prefix_blocks);
  SendToServer(state, server, MakeDispatch(*row, now));
  state->requests.SetDeadline(row, now + state->options.retry.agent_silence);
}

void EndWithoutServer(EntryState* state, RequestRow* row, const Choice& choice,
                      Time now) {
  if (choice.overloaded) {
    EndWithProblem(state, row, Reason::kDeadlineUnreachable, choice.excess,
                   now);
    return;
  }
  EndWithProblem(state, row, Reason::kNoServer,
                 state->options.retry.default_retry_after, now);
}

void EnqueueOrEnd(EntryState* state, RequestRow* row, const Choice& choice,
                  Time now) {
  const RetryOptions& options = state->options.retry;
  const bool service_known =
      !state->servers.ServersOffering(row->call.service).empty();
  if (choice.overloaded || !service_known ||
      state->requests.QueuedCount(row->rank) >= options.max_waiting) {
    EndWithoutServer(state, row, choice, now);
    return;
  }
  // A server that failed the request may recover while the request is queued.
  row->avoid.clear();
  state->requests.Enqueue(row);
  state->requests.SetDeadline(
      row, now + std::min(options.server_wait, RemainingStartTime(*row, now)));
}

}  // namespace

void TryDispatch(EntryState* state, RequestRow* row, Time now) {
  const Choice choice = ChooseServer(state, *row, now);
  if (choice.server.has_value()) {
    DispatchTo(state, row, choice, now);
  } else {
    EnqueueOrEnd(state, row, choice, now);
  }
}

void RetryDispatch(EntryState* state, RequestRow* row,
                   const DispatchFailure& failure, Time now) {
  const RetryOptions& options = state->options.retry;
  if (row->server.has_value()) row->avoid.push_back(*row->server);
  ReleaseServer(state, row);
  row->lifecycle.Apply(StreamEvent::kRequestWithdrawn);
  const Choice choice = ChooseServer(state, *row, now);
  const bool no_alternative = failure.refused && !choice.server.has_value();
  if (no_alternative || row->dispatches >= options.max_dispatches ||
      RemainingStartTime(*row, now) <= milliseconds{0}) {
    EndWithProblem(state, row, failure.reason,
                   std::max(failure.retry_after, options.default_retry_after),
                   now);
    return;
  }
  // The agent has already counted a refusal.
  if (!failure.refused) Count(state, *row, failure.reason);
  const bool exempt = IsExemptFromRetryBudget(failure);
  if (!exempt && !state->budgets.at(RankIndex(row->rank)).TrySpend(now)) {
    EndWithProblem(state, row, Reason::kRetryBudgetSpent,
                   options.default_retry_after, now);
    return;
  }
  Count(state, *row, Reason::kRetriedBeforeFirstToken);
  if (choice.server.has_value()) {
    DispatchTo(state, row, choice, now);
  } else {
    EnqueueOrEnd(state, row, choice, now);
  }
}

void OnLostBeforeFirstToken(EntryState* state, RequestRow* row, Reason reason,
                            Time now) {
  CancelAtAgent(state, *row);
  if (row->at_most_once) {
    Count(state, *row, reason);
    EndWithProblem(state, row, Reason::kOutcomeUnknown, milliseconds{0}, now);
    return;
  }
  RetryDispatch(state, row, {reason, milliseconds{0}, false}, now);
}

void RequestResume(EntryState* state, RequestRow* row, Time now) {
  const RetryOptions& options = state->options.retry;
  if (row->resumes >= options.max_resumes) {
    CancelAtAgent(state, *row);
    EndWithProblem(state, row, Reason::kStreamIncomplete,
                   options.default_retry_after, now);
    return;
  }
  ++row->resumes;
  row->lifecycle.Apply(StreamEvent::kResumeRequested);
  Count(state, *row, Reason::kResumed);
  SendToServer(state, *row->server, MakeDispatch(*row, now));
  state->requests.SetDeadline(row, now + options.resume_wait);
}

void DispatchQueued(EntryState* state, Time now) {
  for (const RequestId& request : state->requests.TakeQueued()) {
    RequestRow* row = state->requests.Find(request);
    const Choice choice = ChooseServer(state, *row, now);
    if (choice.server.has_value()) {
      DispatchTo(state, row, choice, now);
    } else if (choice.overloaded) {
      EndWithoutServer(state, row, choice, now);
    } else {
      state->requests.Enqueue(row);
    }
  }
}

}  // namespace coltsfootfork

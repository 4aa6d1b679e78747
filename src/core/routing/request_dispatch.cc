#include "core/routing/request_dispatch.h"

#include <algorithm>

#include "core/routing/request_ending.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

milliseconds StartTimeLeft(const RequestRow& row, Time now) {
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now - row.arrived);
  return std::max(milliseconds{0}, row.target.start_within - waited);
}

// Work that moves off a server which leaves, or which died before it ran any
// of it, is done once all the same and multiplies no load.
bool IsFreeMove(const DispatchFailure& failure) {
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
  query.start_within = StartTimeLeft(row, now);
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
  dispatch.start_within = StartTimeLeft(row, now);
  return dispatch;
}

void HandOver(EntryState* state, RequestRow* row, const Choice& choice,
              Time now) {
  const ServerIndex server = *choice.server;
  row->sequencer.StartNextGeneration();
  row->life.Apply(StreamEvent::kRequestDispatched);
  row->server = server;
  ++row->dispatches;
  ++row->unproved_dispatches;
  state->servers.OnHandedOver(server, row->rank);
  state->servers.NoteSend(server, row->rank, choice.work, now);
  state->hints.Expect(server, row->call.prefix_blocks);
  SendToServer(state, server, MakeDispatch(*row, now));
  state->requests.SetDeadline(row, now + state->options.retry.agent_silence);
}

void EndUnplaced(EntryState* state, RequestRow* row, const Choice& choice,
                 Time now) {
  if (choice.overloaded) {
    EndWithProblem(state, row, Reason::kDeadlineUnreachable, choice.excess,
                   now);
    return;
  }
  EndWithProblem(state, row, Reason::kNoServer,
                 state->options.retry.default_retry_after, now);
}

void WaitOrEnd(EntryState* state, RequestRow* row, const Choice& choice,
               Time now) {
  const RetryOptions& options = state->options.retry;
  const bool known = !state->servers.Offering(row->call.service).empty();
  if (choice.overloaded || !known ||
      state->requests.Waiting(row->rank) >= options.max_waiting) {
    EndUnplaced(state, row, choice, now);
    return;
  }
  // A server that failed the request may come back meanwhile.
  row->avoid.clear();
  state->requests.StartWaiting(row);
  state->requests.SetDeadline(
      row, now + std::min(options.server_wait, StartTimeLeft(*row, now)));
}

}  // namespace

void TryDispatch(EntryState* state, RequestRow* row, Time now) {
  const Choice choice = ChooseServer(state, *row, now);
  if (choice.server.has_value()) {
    HandOver(state, row, choice, now);
  } else {
    WaitOrEnd(state, row, choice, now);
  }
}

void DispatchAgain(EntryState* state, RequestRow* row,
                   const DispatchFailure& failure, Time now) {
  const RetryOptions& options = state->options.retry;
  if (row->server.has_value()) row->avoid.push_back(*row->server);
  LeaveServer(state, row);
  row->life.Apply(StreamEvent::kRequestWithdrawn);
  const Choice choice = ChooseServer(state, *row, now);
  const bool hopeless = failure.refused && !choice.server.has_value();
  if (hopeless || row->dispatches >= options.max_dispatches ||
      StartTimeLeft(*row, now) <= milliseconds{0}) {
    EndWithProblem(state, row, failure.reason,
                   std::max(failure.retry_after, options.default_retry_after),
                   now);
    return;
  }
  // Whoever refused has counted it.
  if (!failure.refused) Count(state, *row, failure.reason);
  const bool free_move = IsFreeMove(failure);
  if (!free_move && !state->budgets.at(RankIndex(row->rank)).Spend(now)) {
    EndWithProblem(state, row, Reason::kRetryBudgetSpent,
                   options.default_retry_after, now);
    return;
  }
  Count(state, *row, Reason::kRetriedBeforeFirstToken);
  if (choice.server.has_value()) {
    HandOver(state, row, choice, now);
  } else {
    WaitOrEnd(state, row, choice, now);
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
  DispatchAgain(state, row, {reason, milliseconds{0}, false}, now);
}

void AskResume(EntryState* state, RequestRow* row, Time now) {
  const RetryOptions& options = state->options.retry;
  if (row->resumes >= options.max_resumes) {
    CancelAtAgent(state, *row);
    EndWithProblem(state, row, Reason::kStreamIncomplete,
                   options.default_retry_after, now);
    return;
  }
  ++row->resumes;
  row->life.Apply(StreamEvent::kResumeRequested);
  Count(state, *row, Reason::kResumed);
  SendToServer(state, *row->server, MakeDispatch(*row, now));
  state->requests.SetDeadline(row, now + options.resume_wait);
}

void DispatchWaiting(EntryState* state, Time now) {
  for (const RequestId& request : state->requests.TakeWaiting()) {
    RequestRow* row = state->requests.Find(request);
    const Choice choice = ChooseServer(state, *row, now);
    if (choice.server.has_value()) {
      HandOver(state, row, choice, now);
    } else if (choice.overloaded) {
      EndUnplaced(state, row, choice, now);
    } else {
      state->requests.StartWaiting(row);
    }
  }
}

}  // namespace coltsfootfork

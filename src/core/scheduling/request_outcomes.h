#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// How a dispatched request ended without completing.
struct Interruption {
  Reason reason = Reason::kNone;
  bool resumable = false;
  // Cancel the request at the server.
  bool cancel = false;
};

// Reports to the entry that a dispatch did not run, and counts the reason.
void RefuseDispatch(AgentState& state, const ProcessId& entry,
                    const Dispatch& dispatch, Reason reason,
                    std::chrono::milliseconds retry_after, Effects& effects);

// Refuses a request that was removed from the queue and releases its stream.
void RefuseQueued(AgentState& state, const QueuedRequest& request,
                  Reason reason, Effects& effects);

// Refuses all queued requests.
void RefuseAllQueued(AgentState& state, Reason reason, Effects& effects);

// Charges the workspace for tokens beyond the estimate charged at dispatch.
void ChargeBeyondEstimate(AgentState& state, RunningRequest& request);

// Whether a request that is no longer running may have run.
enum class RunProof : std::uint8_t { kMayHaveRun = 0, kDidNotRun };

// Removes an ended request from the tables and adjusts the charge of its
// workspace to the tokens actually generated.
void RemoveRunning(AgentState& state, const RunningRequest& request,
                   RunProof proof = RunProof::kMayHaveRun);

// Ends a running request as interrupted and notifies its entry.
void Interrupt(AgentState& state, const RunningRequest& request,
               const Interruption& interruption, Effects& effects);

// Interrupts all running requests.
void InterruptAll(AgentState& state, Reason reason, bool cancel,
                  Effects& effects);

}  // namespace coltsfootfork

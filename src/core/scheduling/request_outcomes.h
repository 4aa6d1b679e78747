#pragma once

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// How a request that was handed over ended, when not by itself.
struct Interruption {
  Reason reason = Reason::kNone;
  bool resumable = false;
  // Tell the server to stop it.
  bool cancel = false;
};

// Tells the entry that a dispatch did not run, and counts why.
void RefuseDispatch(AgentState& state, const ProcessId& entry,
                    const Dispatch& dispatch, Reason reason,
                    std::chrono::milliseconds retry_after, Effects& effects);

// The same for a request that has waited here; frees its place.
void RefuseQueued(AgentState& state, const QueuedRequest& request,
                  Reason reason, Effects& effects);

// Refuses everything that waits.
void RefuseAllQueued(AgentState& state, Reason reason, Effects& effects);

// Charges the workspace for tokens beyond what it was charged at the start.
void ChargeBeyondEstimate(AgentState& state, RunningRequest& request);

// What is known of a request that no longer runs.
enum class RunProof : std::uint8_t { kMayHaveRun = 0, kDidNotRun };

// Takes an ended request out of the tables and corrects its workspace's
// charge to the tokens made.
void RemoveRunning(AgentState& state, const RunningRequest& request,
                   RunProof proof = RunProof::kMayHaveRun);

// Ends a running request as interrupted and tells its entry.
void Interrupt(AgentState& state, const RunningRequest& request,
               const Interruption& interruption, Effects& effects);

// Interrupts everything that runs.
void InterruptAll(AgentState& state, Reason reason, bool cancel,
                  Effects& effects);

}  // namespace coltsfootfork

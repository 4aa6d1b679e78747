#pragma once

#include <optional>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Tells a new entry what the others know.
void ReportTo(const AgentState& state, const ProcessId& entry,
              Effects& effects);

// Tells all entries at once when the server serves or stops serving, else at
// the interval.
void Report(AgentState& state, Time now, Effects& effects);

// When the next report is due, or nothing without entries.
std::optional<Time> NextReport(const AgentState& state);

}  // namespace coltsfootfork

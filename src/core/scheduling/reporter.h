#pragma once

#include <optional>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Tells a new entry what the others know.
void SendReport(const AgentState& state, const ProcessId& entry,
                Effects& effects);

// Tells all entries at once when the server serves or stops serving, else at
// the interval.
void SendDueReports(AgentState& state, Time now, Effects& effects);

// When the next report is due, or nothing without entries.
std::optional<Time> NextReportTime(const AgentState& state);

}  // namespace coltsfootfork

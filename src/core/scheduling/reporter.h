#pragma once

#include <optional>

#include "core/scheduling/agent_state.h"
#include "core/scheduling/effects.h"

namespace coltsfootfork {

// Sends the current report to a newly connected entry.
void SendReport(const AgentState& state, const ProcessId& entry,
                Effects& effects);

// Sends a report to all entries: immediately when the serving or draining state
// changes, else at the report interval.
void SendDueReports(AgentState& state, Time now, Effects& effects);

// Time of the next periodic report; empty without entries.
std::optional<Time> NextReportTime(const AgentState& state);

}  // namespace coltsfootfork

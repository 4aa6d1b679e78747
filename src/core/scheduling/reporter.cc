#include "core/scheduling/reporter.h"

#include <chrono>

#include "core/scheduling/start_delay.h"

namespace coltsfootfork {
namespace {

bool Draining(const AgentState& state) {
  return state.stopping || state.lifecycle.stage() == ServerStage::kDraining;
}

std::chrono::milliseconds Interval(const AgentState& state) {
  const bool busy = !state.queue.empty() || state.running.size() > 0;
  return busy ? state.options.report.busy : state.options.report.idle;
}

std::uint64_t UsedMemory(const AgentState& state) {
  double used_tokens = 0;
  for (const auto& [id, request] : state.running.all()) {
    used_tokens += request.kv_tokens();
  }
  return static_cast<std::uint64_t>(used_tokens);
}

ServerReport MakeReport(const AgentState& state) {
  ServerReport report;
  report.server = state.server.server;
  report.incarnation = state.server.incarnation;
  report.zone = state.options.zone;
  report.services = state.server.services;
  report.serving = state.Serving() && state.configuration != nullptr;
  report.draining = Draining(state);
  report.queued_requests = static_cast<std::uint32_t>(state.queue.size());
  report.queued_tokens =
      static_cast<std::uint64_t>(state.queue.waiting_tokens(Rank::kUrgent) +
                                 state.queue.waiting_tokens(Rank::kDeferrable));
  report.running_requests = state.running.size();
  report.memory_used_tokens = UsedMemory(state);
  report.memory_tokens = state.server.memory_tokens;
  report.urgent_delay = EstimateRankDelay(state, Rank::kUrgent);
  report.deferrable_delay = EstimateRankDelay(state, Rank::kDeferrable);
  report.prefill_per_token =
      std::chrono::duration_cast<std::chrono::nanoseconds>(
          state.prefill_per_token);
  return report;
}

}  // namespace

void SendReport(const AgentState& state, const ProcessId& entry,
                Effects& effects) {
  if (state.server.server.empty()) return;
  effects.ToEntry(entry, MakeReport(state));
}

void SendDueReports(AgentState& state, Time now, Effects& effects) {
  if (state.server.server.empty()) return;
  ReportState& last = state.report;
  const bool serving = state.Serving() && state.configuration != nullptr;
  const bool changed =
      last.serving != serving || last.draining != Draining(state);
  const bool interval_elapsed =
      !last.last_sent || now - *last.last_sent >= Interval(state);
  if (!changed && !last.due && !interval_elapsed) return;
  const ServerReport report = MakeReport(state);
  for (const ProcessId& entry : state.entries) effects.ToEntry(entry, report);
  last = {now, report.serving, report.draining, false};
}

std::optional<Time> NextReportTime(const AgentState& state) {
  if (state.entries.empty() || !state.report.last_sent) return std::nullopt;
  return *state.report.last_sent + Interval(state);
}

}  // namespace coltsfootfork

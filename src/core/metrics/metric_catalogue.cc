#include "coltsfootfork/core/metrics/metric_catalogue.h"

#include <array>

namespace coltsfootfork {
namespace {

constexpr MetricInfo kReasons = {
    "coltsfootfork_reasons_total",
    "Refusals, retries, early ends and dropped frames."};

// Each of the following arrays is in the order of its enumeration.
constexpr std::array<MetricInfo, kCounterCount> kCounters = {{
    {"coltsfootfork_preemptions_total",
     "Requests that the backend server put back to make room."},
    {"coltsfootfork_input_findings_total",
     "Faults found in what backend servers sent."},
}};

constexpr std::array<MetricInfo, kGaugeCount> kGauges = {{
    {"coltsfootfork_revision_in_force",
     "Revision of the configuration that this process acts on."},
    {"coltsfootfork_open_requests", "Requests of callers that have not ended."},
    {"coltsfootfork_queued_requests", "Requests that wait in the agent."},
    {"coltsfootfork_running_requests",
     "Requests handed over to the backend server."},
    {"coltsfootfork_memory_used_tokens",
     "Key/value memory in use, as the agent predicts it."},
    {"coltsfootfork_memory_tokens",
     "Key/value memory that the backend server announced."},
    {"coltsfootfork_serving", "1 while the backend server takes new work."},
    {"coltsfootfork_control_leader", "1 on the replica that leads."},
    {"coltsfootfork_control_term", "The term of this control replica."},
    {"coltsfootfork_control_leases", "Leases that the leader has granted."},
    {"coltsfootfork_control_claims", "Claims of idempotency keys kept."},
}};

constexpr std::array<MetricInfo, kTimingCount> kTimings = {{
    {"coltsfootfork_first_token_seconds",
     "From the request's arrival to its first token."},
    {"coltsfootfork_token_gap_seconds", "Between two tokens of a stream."},
    {"coltsfootfork_stall_seconds",
     "What a gap between tokens lasted beyond the stall bound."},
    {"coltsfootfork_queue_delay_seconds",
     "From the agent's taking a request to its hand-over."},
}};

template <typename Kind>
std::size_t IndexOf(Kind kind) {
  return static_cast<std::size_t>(kind);
}

}  // namespace

const MetricInfo& InfoOf(Gauge gauge) { return kGauges.at(IndexOf(gauge)); }
const MetricInfo& InfoOf(Counter counter) {
  return kCounters.at(IndexOf(counter));
}
const MetricInfo& InfoOf(Timing timing) { return kTimings.at(IndexOf(timing)); }
const MetricInfo& ReasonsInfo() { return kReasons; }

std::vector<MetricInfo> AllMetrics() {
  std::vector<MetricInfo> all;
  all.reserve(1 + kCounterCount + kGaugeCount + kTimingCount);
  all.push_back(kReasons);
  for (const MetricInfo& info : kCounters) all.push_back(info);
  for (const MetricInfo& info : kGauges) all.push_back(info);
  for (const MetricInfo& info : kTimings) all.push_back(info);
  return all;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/gateway/gateway_metrics.h"

#include <vector>

#include "coltsfootfork/core/metrics/value_text.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// Cover the fastest plain response up to the longest stream.
std::vector<Duration> LatencyBounds() {
  return {milliseconds(10),    milliseconds(30),   milliseconds(100),
          milliseconds(300),   milliseconds(1000), milliseconds(3000),
          milliseconds(10000), milliseconds(30000)};
}

const char* CounterName(GatewayCounter counter) {
  switch (counter) {
    case GatewayCounter::kRetriedAfterNoConnection:
      return "repeat_after_no_connection";
    case GatewayCounter::kRetriedAfterNotRun:
      return "repeat_after_not_run";
    case GatewayCounter::kRetriedAfterServerError:
      return "repeat_after_server_error";
    case GatewayCounter::kRetriedAfterIncompleteResponse:
      return "repeat_after_broken";
    case GatewayCounter::kRetryBudgetExhausted:
      return "repeat_without_budget";
    case GatewayCounter::kResumedFromBackup:
      return "carried_from_backup";
    case GatewayCounter::kMigrated:
      return "carried_by_move";
    case GatewayCounter::kResumedFromCopy:
      return "carried_from_copy";
    case GatewayCounter::kSmallTransfer:
      return "migration_small_transfer";
    case GatewayCounter::kStoppedRegardless:
      return "migration_stopped_regardless";
    case GatewayCounter::kCopyNotFreed:
      return "migration_copy_not_freed";
    case GatewayCounter::kMigrationRefused:
      return "carry_refused";
    case GatewayCounter::kEvacuationMigration:
      return "evacuation_migration";
    case GatewayCounter::kMigrationFailed:
      return "carry_lost";
    case GatewayCounter::kServerDrainNotice:
      return "server_said_it_leaves";
    case GatewayCounter::kServerRequestedBackoff:
      return "server_asked_for_time";
    case GatewayCounter::kOversizedResponse:
      return "answer_without_end";
    case GatewayCounter::kMalformedResponse:
      return "response_malformed";
    case GatewayCounter::kReadPaused:
      return "read_paused";
  }
  return "unknown";
}

}  // namespace

std::string CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kServed:
      return "served";
    case CallOutcome::kServerError:
      return "server_failure";
    case CallOutcome::kNoPlan:
      return "no_plan";
    case CallOutcome::kNoRoute:
      return "no_route";
    case CallOutcome::kUnknownKey:
      return "unknown_key";
    case CallOutcome::kNoServer:
      return "no_server";
    case CallOutcome::kServersRestricted:
      return "servers_restricted";
    case CallOutcome::kStopping:
      return "stopping";
    case CallOutcome::kNoCapacity:
      return "no_room";
    case CallOutcome::kServersBackingOff:
      return "servers_paused";
    case CallOutcome::kNoMemory:
      return "no_memory";
    case CallOutcome::kServersFull:
      return "servers_full";
    case CallOutcome::kQuarantined:
      return "quarantined";
    case CallOutcome::kNotRun:
      return "not_run";
    case CallOutcome::kIncompleteResponse:
      return "broken";
    case CallOutcome::kDeadlineExceeded:
      return "deadline";
    case CallOutcome::kResponseAborted:
      return "broken_off";
    case CallOutcome::kCallerDisconnected:
      return "caller_gone";
    case CallOutcome::kSlowCaller:
      return "slow_caller";
  }
  return "unknown";
}

GatewayMetrics::GatewayMetrics() : served_latency_(LatencyBounds()) {}

void GatewayMetrics::Count(CallOutcome outcome, Duration latency) {
  ++outcomes_[outcome];
  if (outcome == CallOutcome::kServed) served_latency_.Observe(latency);
}

void GatewayMetrics::Count(GatewayCounter counter, std::uint64_t increment) {
  counters_[counter] += increment;
}

void GatewayMetrics::Set(const std::string& name, std::uint64_t value) {
  values_[name] = value;
}

std::string GatewayMetrics::ToText() const {
  std::string text = "# TYPE coltsfootfork_gateway_calls_total counter\n";
  for (const auto& [outcome, count] : outcomes_) {
    text += "coltsfootfork_gateway_calls_total{outcome=\"" +
            CallOutcomeName(outcome) + "\"} " + std::to_string(count) + "\n";
  }
  text += "# TYPE coltsfootfork_gateway_events_total counter\n";
  for (const auto& [counter, count] : counters_) {
    text += std::string("coltsfootfork_gateway_events_total{event=\"") +
            CounterName(counter) + "\"} " + std::to_string(count) + "\n";
  }
  text += ValueText(values_);
  text += "# TYPE coltsfootfork_gateway_served_seconds histogram\n";
  const std::vector<Duration> bounds = LatencyBounds();
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    const double seconds = std::chrono::duration<double>(bounds[i]).count();
    text += "coltsfootfork_gateway_served_seconds_bucket{le=\"" +
            std::to_string(seconds) + "\"} " +
            std::to_string(served_latency_.CountUpTo(i)) + "\n";
  }
  const std::string total = std::to_string(served_latency_.count());
  text += "coltsfootfork_gateway_served_seconds_bucket{le=\"+Inf\"} " + total +
          "\ncoltsfootfork_gateway_served_seconds_sum " +
          std::to_string(
              std::chrono::duration<double>(served_latency_.sum()).count()) +
          "\ncoltsfootfork_gateway_served_seconds_count " + total + "\n";
  return text;
}

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "coltsfootfork/core/metrics/duration_histogram.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The outcome of a call as its caller sees it.
enum class CallOutcome : std::uint8_t {
  kServed = 0,
  // The server's error response was forwarded.
  kServerError,
  kNoPlan,
  kNoRoute,
  kUnknownKey,
  kNoServer,
  // All servers of the service are in evacuated zones, or in regions that the
  // call may not use.
  kServersRestricted,
  // This entry is shutting down.
  kStopping,
  // The call expired in the admission queue.
  kNoCapacity,
  // All servers of the service requested back-off.
  kServersBackingOff,
  // The request does not fit into the memory for calls.
  kNoMemory,
  // All servers of the service hold too many bytes of requests for this one.
  kServersFull,
  // A part of the prompt is quarantined since it crashes engines.
  kQuarantined,
  // No server ran the call.
  kNotRun,
  // The call may have run, but no complete response arrived.
  kIncompleteResponse,
  kDeadlineExceeded,
  // The response had started and could not be completed.
  kResponseAborted,
  kCallerDisconnected,
  // The caller reads its response too slowly.
  kSlowCaller,
};

std::string CallOutcomeName(CallOutcome outcome);

// Gateway events that are counted besides call outcomes.
enum class GatewayCounter : std::uint8_t {
  // Retries, by the result of the preceding attempt.
  kRetriedAfterNoConnection = 0,
  kRetriedAfterNotRun,
  kRetriedAfterServerError,
  kRetriedAfterIncompleteResponse,
  // The retry budget did not allow a retry.
  kRetryBudgetExhausted,
  // Streams resumed on another server from a KV checkpoint.
  kResumedFromBackup,
  // Streams stopped for a migration and resumed from the KV transfer.
  kMigrated,
  // Streams resumed on another server from an earlier KV transfer, after the
  // source failed.
  kResumedFromCopy,
  // Small transfers between the full transfer of a stream and its stop, and
  // streams that were stopped although the last one was slow or missing.
  kSmallTransfer,
  kStoppedRegardless,
  // Copies of abandoned migrations that could not be freed, and use memory at
  // their target until they expire.
  kCopyNotFreed,
  // A migration attempt was refused.
  kMigrationRefused,
  // Streams of an evacuated zone whose migration was started.
  kEvacuationMigration,
  // The source had ended and no other migration was possible.
  kMigrationFailed,
  // Drain notices and back-off requests in server responses.
  kServerDrainNotice,
  kServerRequestedBackoff,
  // Responses that exceeded their size limit and were aborted.
  kOversizedResponse,
  // Responses that were not valid HTTP.
  kMalformedResponse,
  // Streams that were not read for a while since their callers read slowly.
  kReadPaused,
};

// Collects the gateway's counters, gauges and latency for the metrics page.
class GatewayMetrics {
 public:
  GatewayMetrics();

  void Count(CallOutcome outcome, Duration latency);
  void Count(GatewayCounter counter, std::uint64_t increment = 1);
  // Sets a gauge. `name` is listed in docs/operators/metrics.md.
  void Set(const std::string& name, std::uint64_t value);

  // Returns the metrics in the Prometheus text format.
  std::string ToText() const;

 private:
  std::map<CallOutcome, std::uint64_t> outcomes_;
  std::map<GatewayCounter, std::uint64_t> counters_;
  std::map<std::string, std::uint64_t> values_;
  DurationHistogram served_latency_;
};

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "coltsfootfork/core/metrics/duration_histogram.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// How a call of the gateway ended, for the caller.
enum class CallOutcome : std::uint8_t {
  kServed = 0,
  // The server's own failure was handed on.
  kServerError,
  kNoPlan,
  kNoRoute,
  kUnknownKey,
  kNoServer,
  // This entry is about to end.
  kStopping,
  kNoCapacity,
  // All servers of the service have asked for time.
  kServersBackingOff,
  kNotRun,
  // It may have run, and no whole answer came.
  kIncompleteResponse,
  kDeadlineExceeded,
  // The answer had begun and could not be made whole.
  kResponseAborted,
  kCallerDisconnected,
  // It does not read its answer.
  kSlowCaller,
};

std::string CallOutcomeName(CallOutcome outcome);

// What the gateway counts beside the outcomes.
enum class GatewayCounter : std::uint8_t {
  // By the end of the send before.
  kRetriedAfterNoConnection = 0,
  kRetriedAfterNotRun,
  kRetriedAfterServerError,
  kRetriedAfterIncompleteResponse,
  kRetryBudgetExhausted,
  // Running streams that went on at another server.
  kResumedFromBackup,
  kMigrated,
  kResumedFromCopy,
  kMigrationRefused,
  kMigrationFailed,
  // What servers said in their answers.
  kServerDrainNotice,
  kServerRequestedBackoff,
  // Answers that came to more than they may, and were closed.
  kOversizedResponse,
};

// The gateway's counters and its latency, as text for a metrics page.
class GatewayMetrics {
 public:
  GatewayMetrics();

  void Count(CallOutcome outcome, Duration latency);
  void Count(GatewayCounter counter, std::uint64_t increment = 1);
  // A value of now, under a name of the catalogue in docs/operators/metrics.md.
  void Set(const std::string& name, std::uint64_t value);

  // The Prometheus text format.
  std::string ToText() const;

 private:
  std::map<CallOutcome, std::uint64_t> outcomes_;
  std::map<GatewayCounter, std::uint64_t> counters_;
  std::map<std::string, std::uint64_t> values_;
  DurationHistogram served_latency_;
};

}  // namespace coltsfootfork

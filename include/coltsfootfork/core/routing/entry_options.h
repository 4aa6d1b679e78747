#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "coltsfootfork/core/routing/choice_policy.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// Settings for the choice of a backend server.
struct ChoiceOptions {
  ChoicePolicy policy = LowestCostPolicy{};
  // Servers sampled per choice, in addition to those that have cached the
  // prompt prefix.
  std::size_t samples = 4;
  // A server whose last report is older than this gets no new requests.
  std::chrono::milliseconds report_fresh_for{2000};
  // A report is assumed not to include dispatches made within this time before
  // its arrival.
  std::chrono::milliseconds report_lag{50};
  // Slow start: time until a new or recovered server gets its full share.
  std::chrono::milliseconds ramp{10000};
  // Cost added to a server for each request running on it.
  std::chrono::microseconds running_cost{200};
  // Cost of a dispatch that no report includes yet, in addition to its prefill.
  std::chrono::microseconds send_cost{2000};
  std::chrono::microseconds other_zone_distance{1000};
  std::chrono::microseconds other_region_distance{30000};
  // Prompt cache blocks tracked per server.
  std::size_t hint_blocks_per_server = 4096;
};

// Settings for retries, resumes and timeouts when a server, link or caller
// fails.
struct RetryOptions {
  // Retries added to the budget by each successful request.
  double budget_share = 0.1;
  // Capacity and initial level of the retry budget of one rank.
  double budget_limit = 50.0;
  // Retries added to the budget per second, independent of successes.
  double budget_per_second = 1.0;
  // Maximum number of dispatches of one request.
  std::uint32_t max_dispatches = 4;
  // Maximum number of resumes of a stream without a delivered token in between.
  std::uint32_t max_resumes = 2;
  // How long a request is queued when its service has servers but none is
  // eligible.
  std::chrono::milliseconds server_wait{500};
  // Maximum number of queued requests of one rank.
  std::size_t max_waiting = 1000;
  // Timeout for the reply to a claim.
  std::chrono::milliseconds claim_timeout{3000};
  // How long to keep waiting for the reply after a claim timed out.
  std::chrono::milliseconds abandoned_claim_timeout{30000};
  // Time without a report from an agent on an open link after which its
  // requests are retried on another server and its streams are resumed.
  std::chrono::milliseconds agent_silence{4000};
  // Time without a token of a stream after which it counts as stalled, while
  // its agent sends reports. The agent has its own timeouts for the engine;
  // this one must be longer.
  std::chrono::milliseconds stall{35000};
  // Timeout of a plain call, counted from the end of its permitted start time.
  std::chrono::milliseconds plain_call_timeout{30000};
  // How long a resuming stream waits for its agent to reconnect or for its next
  // token.
  std::chrono::milliseconds resume_wait{1500};
  // Maximum number of delivered bytes that the caller has not read.
  std::uint64_t caller_buffer_bytes = 65536;
  // Time without read progress of a caller's backlog after which its request
  // is ended.
  std::chrono::milliseconds caller_stall{10000};
  // Retry-after time when no better estimate is available.
  std::chrono::milliseconds default_retry_after{1000};
};

// Settings of one entry.
struct EntryOptions {
  ProcessId process;
  ZoneId zone;
  ChoiceOptions choice;
  RetryOptions retry;
  // This entry's share of every workspace limit until shares are granted.
  double default_share = 1.0;
};

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "coltsfootfork/core/routing/choice_policy.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// How an entry weighs servers against each other.
struct ChoiceOptions {
  ChoicePolicy policy = LowestCostPolicy{};
  // Servers sampled for one choice, besides those that hold the prefix.
  std::size_t samples = 4;
  // A server whose last report is older gets nothing new.
  std::chrono::milliseconds report_fresh_for{2000};
  // Sends younger than this are taken as unknown to an arriving report.
  std::chrono::milliseconds report_lag{50};
  // How long a new or recovered server takes to get its full share.
  std::chrono::milliseconds ramp{10000};
  // What a running request costs the next one on the same server.
  std::chrono::microseconds running_cost{200};
  // What a send that no report covers yet costs, besides its prefill.
  std::chrono::microseconds send_cost{2000};
  std::chrono::microseconds other_zone_distance{1000};
  std::chrono::microseconds other_region_distance{30000};
  // Blocks remembered of one server's prompt cache.
  std::size_t hint_blocks_per_server = 4096;
};

// How an entry treats requests whose server, link or caller fails.
struct RetryOptions {
  // Retries allowed for each recent success.
  double budget_share = 0.1;
  // Retries of one rank that can be saved up, and that are there at the start.
  double budget_limit = 50.0;
  // Retries allowed each second however few successes there are.
  double budget_per_second = 1.0;
  // Hand-overs of one request in all.
  std::uint32_t max_dispatches = 4;
  // Resumes of one stream without a token in between.
  std::uint32_t max_resumes = 2;
  // How long a request waits for a server that is known but not eligible.
  std::chrono::milliseconds server_wait{500};
  // Requests of one rank that may wait for a server at one time.
  std::size_t max_waiting = 1000;
  // How long the answer to a claim may take.
  std::chrono::milliseconds claim_timeout{3000};
  // How long an answer is still awaited for a claim that timed out.
  std::chrono::milliseconds abandoned_claim_timeout{30000};
  // How long an agent may be silent on an open link before its requests are
  // moved and its streams are resumed.
  std::chrono::milliseconds agent_silence{4000};
  // How long a stream may be silent while its agent is not. The agent watches
  // its engine itself, so this must be longer than its own bounds.
  std::chrono::milliseconds stall{35000};
  // How long a plain call may take once it could have started.
  std::chrono::milliseconds plain_call_timeout{30000};
  // How long a broken stream waits for its agent and for the next token.
  std::chrono::milliseconds resume_wait{1500};
  // Delivered bytes that a caller may leave untaken.
  std::uint64_t caller_buffer_bytes = 65536;
  // How long a caller may take nothing of what waits for it.
  std::chrono::milliseconds caller_stall{10000};
  // What a caller is told to wait where nothing better is known.
  std::chrono::milliseconds default_retry_after{1000};
};

// Settings of one entry.
struct EntryOptions {
  ProcessId process;
  ZoneId zone;
  ChoiceOptions choice;
  RetryOptions retry;
  // This entry's part of every workspace limit until shares are granted.
  double default_share = 1.0;
};

}  // namespace coltsfootfork

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/reason.h"

namespace coltsfootfork {

// How a request ended for its caller.
enum class RequestEnd : std::uint8_t {
  // Not yet, when the trace ends.
  kOpen = 0,
  // All tokens of a generation were delivered.
  kComplete,
  // A plain call's answer, or a stored one.
  kResponse,
  kProblem,
  // The caller went away first.
  kCallerDisconnected,
};

std::string_view RequestEndName(RequestEnd end);

// What is stated of one request. What is not stated is not checked.
struct RequestOutcome {
  std::optional<RequestEnd> end;
  std::optional<std::uint32_t> tokens;
  std::optional<Reason> reason;
  std::optional<bool> not_run;
  std::optional<Rank> rank;
  // Hand-overs to backend servers, resumptions not counted.
  std::optional<std::uint32_t> dispatches;
  // The longest time between two delivered tokens.
  std::optional<std::chrono::milliseconds> max_stall;
};

// What is stated of a trace, beside what must hold of every trace.
struct Outcomes {
  std::map<RequestId, RequestOutcome> requests;
  // How often each reason was counted; those not named are not checked.
  std::map<Reason, std::uint64_t> reasons;
  // For all streams of the trace.
  std::optional<std::chrono::milliseconds> max_stall;
  // The core must do exactly what it did when the trace was recorded.
  bool same_effects = true;
};

// Reads the outcomes from JSON. Every fault is a finding with its JSON
// pointer, unknown keys included; nothing is returned when there is one.
std::optional<Outcomes> ParseOutcomes(std::string_view json_text,
                                      Findings* findings);

}  // namespace coltsfootfork

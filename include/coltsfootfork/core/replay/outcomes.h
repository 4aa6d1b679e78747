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

// The final result of a request as its caller sees it.
enum class RequestEnd : std::uint8_t {
  // The request is unfinished when the trace ends.
  kOpen = 0,
  // All tokens of a generation were delivered.
  kComplete,
  // The response of a plain call, or a stored response.
  kResponse,
  kProblem,
  // The caller disconnected before the request finished.
  kCallerDisconnected,
};

std::string_view RequestEndName(RequestEnd end);

// The expected outcome of one request. Unset members are not checked.
struct RequestOutcome {
  std::optional<RequestEnd> end;
  std::optional<std::uint32_t> tokens;
  std::optional<Reason> reason;
  std::optional<bool> not_run;
  std::optional<Rank> rank;
  // Dispatches to backend servers, excluding resumptions.
  std::optional<std::uint32_t> dispatches;
  // The longest time between two delivered tokens.
  std::optional<std::chrono::milliseconds> max_stall;
};

// The expected outcomes of one trace. They are checked in addition to the
// invariants that hold for every trace.
struct Outcomes {
  std::map<RequestId, RequestOutcome> requests;
  // The expected count of each reason; absent reasons are not checked.
  std::map<Reason, std::uint64_t> reasons;
  // An upper limit for each stream of the trace.
  std::optional<std::chrono::milliseconds> max_stall;
  // The replayed core must produce exactly the recorded effects.
  bool same_effects = true;
};

// Parses expected outcomes from JSON. Every fault, including an unknown key, is
// added to `findings` with its JSON pointer. Returns nullopt if there is a
// finding.
std::optional<Outcomes> ParseOutcomes(std::string_view json_text,
                                      Findings* findings);

}  // namespace coltsfootfork

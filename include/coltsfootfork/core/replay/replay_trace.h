#pragma once

#include <cstddef>
#include <istream>
#include <string>

#include "coltsfootfork/core/replay/outcomes.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

struct ReplayReport {
  // The place of a finding is "line N" of the trace or a JSON pointer into the
  // outcomes.
  Findings findings;
  std::size_t inputs = 0;
  std::size_t effects = 0;
  // The final result of each request, one line each, ordered by request id.
  std::string summary;

  bool ok() const { return findings.empty(); }
  // Formats the summary and the findings for printing.
  std::string ToText() const;
};

// Replays the inputs of the trace on an entry's decision core, and checks the
// invariants of all traces and the expected outcomes. The report is
// deterministic. Reading stops at a malformed line, which is a finding.
ReplayReport ReplayTrace(std::istream& trace, const Outcomes& outcomes);

}  // namespace coltsfootfork

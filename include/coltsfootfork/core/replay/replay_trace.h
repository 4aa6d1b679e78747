#pragma once

#include <cstddef>
#include <istream>
#include <string>

#include "coltsfootfork/core/replay/outcomes.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

struct ReplayReport {
  // Each with its place: "line N" of the trace, or a JSON pointer into the
  // outcomes.
  Findings findings;
  std::size_t inputs = 0;
  std::size_t effects = 0;
  // One line a request, in order of its id: what became of it.
  std::string summary;

  bool ok() const { return findings.empty(); }
  // The summary and the findings as they are printed.
  std::string ToText() const;
};

// Runs the entry's decision core over the inputs of the trace and checks what
// must hold and what is stated. The same trace and outcomes give the same
// report. Reading stops at a damaged line, which is a finding.
ReplayReport ReplayTrace(std::istream& trace, const Outcomes& outcomes);

}  // namespace coltsfootfork

#pragma once

#include "coltsfootfork/core/replay/outcomes.h"
#include "coltsfootfork/core/types/finding.h"
#include "core/replay/stream_checks.h"

namespace coltsfootfork {

// Compares the results of the requests with the expected outcomes. The place of
// each finding is the JSON pointer of the expectation that is not met.
void CheckOutcomes(const StreamChecks& checks, const Outcomes& outcomes,
                   Findings* findings);

}  // namespace coltsfootfork

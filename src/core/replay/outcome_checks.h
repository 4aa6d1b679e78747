#pragma once

#include "coltsfootfork/core/replay/outcomes.h"
#include "coltsfootfork/core/types/finding.h"
#include "core/replay/stream_checks.h"

namespace coltsfootfork {

// Compares what became of the requests with what is stated. Each finding has
// the JSON pointer of the statement that does not hold.
void CheckOutcomes(const StreamChecks& checks, const Outcomes& outcomes,
                   Findings* findings);

}  // namespace coltsfootfork

#pragma once

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Returns the current time. The clock also advances while the host is
// suspended.
Time MonotonicNow();

}  // namespace coltsfootfork

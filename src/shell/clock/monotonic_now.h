#pragma once

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Reads the one clock of the process. It also runs while the host is suspended.
Time MonotonicNow();

}  // namespace coltsfootfork

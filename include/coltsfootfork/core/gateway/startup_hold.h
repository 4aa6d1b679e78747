#pragma once

#include <chrono>

#include "coltsfootfork/core/types/time.h"

// Calls that come to an entry which has just started, and knows no routing plan
// or no servers yet. Control tells both within a moment: a call that is held
// until then is answered sooner than one that is refused and comes back.
namespace coltsfootfork {

struct StartupHoldOptions {
  // The longest time that a call is held; zero refuses at once. Above the time
  // that a fleet needs to elect a leader after all its processes were killed.
  std::chrono::milliseconds max_hold{1800};
};

// How long a call may be held from now on; zero where it is refused at once.
// `age` is how long the entry has been running, `patience` how long the caller
// waits: who is held in vain must have most of it left to come back.
Duration StartupHoldFor(const StartupHoldOptions& options, Duration uptime,
                        std::chrono::milliseconds caller_timeout);

}  // namespace coltsfootfork

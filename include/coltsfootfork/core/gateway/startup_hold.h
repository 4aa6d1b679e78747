#pragma once

#include <chrono>

#include "coltsfootfork/core/types/time.h"

// Delays calls to an entry that has just started and has no routing plan or
// servers yet. The control processes soon send both, so a held call gets its
// response sooner than one that is refused and retried.
namespace coltsfootfork {

struct StartupHoldOptions {
  // Maximum time that a call is held; zero refuses calls at once. Exceeds the
  // time that a fleet needs to elect a leader after all its processes were
  // killed.
  std::chrono::milliseconds max_hold{1800};
};

// Returns how long a call may be held; zero if it is to be refused at once. A
// call that is refused after the hold must have most of `caller_timeout` left
// for a retry. `uptime` is the time since the entry started.
Duration StartupHoldFor(const StartupHoldOptions& options, Duration uptime,
                        std::chrono::milliseconds caller_timeout);

}  // namespace coltsfootfork

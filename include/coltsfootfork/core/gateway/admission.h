#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfootfork/core/types/time.h"

// How calls to crowded engines are admitted, made to wait and refused.
namespace coltsfootfork {

// A caller that comes before any plan is known should come back when a fleet
// that has just started has elected a leader again.
inline constexpr std::chrono::milliseconds kRetryAfterNoPlan{2000};

// A caller of an entry that stops comes back to another one.
inline constexpr std::chrono::milliseconds kRetryAfterStopping{50};

// The part of an engine's usable memory that calls of a rank may fill. The rest
// is kept for what is more urgent, and for streams that must leave another
// engine: losing one of those costs more than making a new one wait.
double MaxFillForRank(std::uint32_t rank);

// How long a call waits for room: for as long as it could still be answered in
// time, if it came for the first time. The most urgent wait a little: an engine
// preempts others for them. `goal` is the route's latency goal.
Duration MaxQueueWait(std::uint32_t rank,
                      std::chrono::milliseconds latency_goal);

// When a caller that waited in vain should come back: most callers honour up to
// a third of the time that they have left, and come back once.
std::chrono::milliseconds RetryAfterNoCapacity(Duration time_left);

}  // namespace coltsfootfork

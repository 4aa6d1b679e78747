#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfootfork/core/types/time.h"

// Admission control of calls: memory limits, queueing times and the Retry-After
// of refused calls.
namespace coltsfootfork {

// Retry-After while the entry has no routing plan. Allows a restarted fleet to
// elect a leader.
inline constexpr std::chrono::milliseconds kRetryAfterNoPlan{2000};

// Retry-After while the entry shuts down: the retry goes to another entry.
inline constexpr std::chrono::milliseconds kRetryAfterStopping{50};

// Retry-After while the request does not fit into the entry's memory. A backlog
// of slow callers lasts about that long before it is read or they are ended.
inline constexpr std::chrono::milliseconds kRetryAfterNoMemory{1000};

// Retry-After while all servers that a call may use hold so many bytes of
// requests that this one does not fit. Large requests last about that long.
inline constexpr std::chrono::milliseconds kRetryAfterServersFull{1000};

// Retry-After while all servers that a call may use are in evacuated zones or
// in regions that it may not use. Operators evacuate a zone for seconds up to
// hours, and callers should not return in a burst meanwhile.
inline constexpr std::chrono::milliseconds kRetryAfterRestricted{1000};

// Returns the fraction of an engine's usable memory that calls of `rank` may
// fill. The rest is reserved for more urgent calls and for streams that migrate
// from a draining engine: losing a running stream costs more than queueing a
// new call.
double MaxFillForRank(std::uint32_t rank);

// Returns the maximum time that a call is queued. A call that is not a retry
// can still meet the route's latency goal after this time. The limit is shorter
// for the most urgent rank, since an engine preempts other calls for it.
Duration MaxQueueWait(std::uint32_t rank,
                      std::chrono::milliseconds latency_goal);

// Returns the Retry-After of a call that was queued until its wait expired.
// `time_left` is the time until the caller gives up. Most callers honour a
// Retry-After of up to a third of it, and retry once.
std::chrono::milliseconds RetryAfterNoCapacity(Duration time_left);

}  // namespace coltsfootfork

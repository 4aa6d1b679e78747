#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coltsfootfork/core/gateway/precopy_schedule.h"
#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A call that an engine reports as running.
struct RunningCall {
  RequestId id;
  // Memory that the call uses.
  std::uint64_t tokens = 0;
};

// The shortest drain notice of engines, less the delivery of the notice and the
// last migration.
inline constexpr Duration kUsableNotice = std::chrono::milliseconds(1300);

// Schedules the migration of the streams of a draining engine. KV transfers are
// sequential on the engine's link, and a stopped stream stalls until its final,
// short transfer is done. Behind another stream's full transfer, that stall is
// noticeable to the caller. Every entry therefore computes the same schedule
// from the engine's list of running calls: first all full transfers, shortest
// first, while the streams continue; then the stops in quick succession.
// Streams whose full transfers do not fit into the drain notice follow and stop
// one by one.
class MigrationSchedule {
 public:
  MigrationSchedule() = default;
  // With IterativePrecopy, the schedule is stretched less, so that the notice
  // leaves time for small transfers before the stops.
  MigrationSchedule(std::vector<RunningCall> running,
                    const EngineProfile& engine,
                    const PrecopyPolicy& precopy = SinglePrecopy{});

  // Returns when the stream's full transfer starts, relative to the time the
  // list was read. Streams that are not listed come last.
  Duration CopyStartOf(const RequestId& id) const;
  // Returns when the stream may be stopped, relative to the same time, provided
  // that its full transfer is done.
  Duration StopTimeOf(const RequestId& id) const;

 private:
  struct StreamTimes {
    Duration copy_start{0};
    Duration stop{0};
  };

  std::map<RequestId, StreamTimes> times_;
  Duration end_of_schedule_{0};
};

}  // namespace coltsfootfork

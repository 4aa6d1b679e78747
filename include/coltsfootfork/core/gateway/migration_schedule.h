#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A call that an engine runs, as the engine reports it.
struct RunningCall {
  RequestId id;
  // Memory that it holds.
  std::uint64_t tokens = 0;
};

// When each stream of a leaving engine is moved. Copies go over the engine's
// link one after another, and a stream that is stopped stands still until its
// last, short copy is through: behind another stream's whole copy that is a
// pause which its caller notices. So every entry works out the same order from
// the engine's own list: first all whole copies, one after the other, while the
// streams run on, short ones first; then, close together, the stops. Streams
// whose copies do not fit into the notice come after that, and stop one by one.
class MigrationSchedule {
 public:
  MigrationSchedule() = default;
  MigrationSchedule(std::vector<RunningCall> running,
                    const EngineProfile& engine);

  // How long after the list was read the stream's whole copy begins. A stream
  // that is not listed comes after all others.
  Duration CopyStartOf(const RequestId& id) const;
  // How long after it the stream may be stopped, if its copy is there by then.
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

#include "coltsfootfork/core/fleet/incarnation_resolver.h"

#include <algorithm>
#include <iterator>

namespace coltsfootfork {

std::uint64_t IncarnationResolver::KnownIncarnation(std::uint64_t reported,
                                                    const ServerRecord* known) {
  const bool is_known = known != nullptr && reported != 0 &&
                        known->reported_incarnation == reported;
  return is_known ? known->incarnation : reported;
}

ServerRecord IncarnationResolver::Resolve(const ServerRecord& heartbeat,
                                          const ServerDirectory::Entry* known,
                                          Time now) {
  ServerRecord record = heartbeat;
  record.incarnation = KnownIncarnation(
      heartbeat.incarnation, known == nullptr ? nullptr : &known->record);
  if (record.incarnation != heartbeat.incarnation) {
    record.reported_incarnation = heartbeat.incarnation;
    return record;
  }
  if (known == nullptr || record.incarnation >= known->record.incarnation) {
    observations_.erase(record.id);
    return record;
  }
  // A server whose clock was set back starts at a time that is new.
  const bool was_replaced =
      std::find(known->earlier.begin(), known->earlier.end(),
                heartbeat.incarnation) != known->earlier.end();
  if (was_replaced || !Observe(heartbeat, now)) return record;
  observations_.erase(record.id);
  record.reported_incarnation = heartbeat.incarnation;
  record.incarnation = known->record.incarnation + 1;
  return record;
}

bool IncarnationResolver::Observe(const ServerRecord& heartbeat, Time now) {
  for (auto one = observations_.begin(); one != observations_.end();) {
    const bool is_old = now >= one->second.last + kForgetAfter;
    one = is_old ? observations_.erase(one) : std::next(one);
  }
  auto found = observations_.find(heartbeat.id);
  if (found == observations_.end()) {
    if (observations_.size() >= kMaxObserved) return false;
    found = observations_.emplace(heartbeat.id, Observation()).first;
  }
  Observation& observation = found->second;
  if (observation.incarnation != heartbeat.incarnation) {
    observation = {heartbeat.incarnation, heartbeat.sequence, 1, now, now};
    return false;
  }
  if (heartbeat.sequence <= observation.sequence) return false;
  observation.sequence = heartbeat.sequence;
  observation.last = now;
  ++observation.heartbeats;
  return observation.heartbeats >= kMinHeartbeats &&
         now >= observation.first + kMinDuration;
}

}  // namespace coltsfootfork

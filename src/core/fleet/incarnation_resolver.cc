#include "coltsfootfork/core/fleet/incarnation_resolver.h"

#include <iterator>

namespace coltsfootfork {

std::uint64_t IncarnationResolver::KnownIncarnation(std::uint64_t reported,
                                                    const ServerRecord* known) {
  const bool is_known = known != nullptr && reported != 0 &&
                        known->reported_incarnation == reported;
  return is_known ? known->incarnation : reported;
}

ServerRecord IncarnationResolver::Resolve(const ServerRecord& heartbeat,
                                          const ServerRecord* known, Time now) {
  ServerRecord record = heartbeat;
  record.incarnation = KnownIncarnation(heartbeat.incarnation, known);
  if (record.incarnation != heartbeat.incarnation) {
    record.reported_incarnation = heartbeat.incarnation;
    return record;
  }
  if (known == nullptr || record.incarnation >= known->incarnation) {
    observations_.erase(record.id);
    return record;
  }
  if (!Observe(heartbeat, now)) return record;
  observations_.erase(record.id);
  record.reported_incarnation = heartbeat.incarnation;
  record.incarnation = known->incarnation + 1;
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

#include "coltsfootfork/core/fleet/zone_evacuations.h"

#include <algorithm>

namespace coltsfootfork {

EvacuationOutcome ZoneEvacuations::Check(const EvacuationOrder& order) const {
  const auto found = zones_.find(order.zone);
  const bool is_evacuated = found != zones_.end() && found->second.is_evacuated;
  if (is_evacuated == order.is_start) return EvacuationOutcome::kUnchanged;
  if (found != zones_.end()) {
    return found->second.revision > order.known_revision
               ? EvacuationOutcome::kOutdated
               : EvacuationOutcome::kApplied;
  }
  return zones_.size() < kMaxZones ? EvacuationOutcome::kApplied
                                   : EvacuationOutcome::kTooManyZones;
}

EvacuationOutcome ZoneEvacuations::Apply(const EvacuationOrder& order) {
  const EvacuationOutcome outcome = Check(order);
  if (outcome != EvacuationOutcome::kApplied) return outcome;
  ++revision_;
  zones_[order.zone] = {order.zone, order.is_start, revision_};
  return outcome;
}

void ZoneEvacuations::Restore(const std::vector<ZoneEvacuation>& changes) {
  std::uint64_t revision = 0;
  for (const ZoneEvacuation& change : changes) {
    revision = std::max(revision, change.revision);
  }
  if (revision <= revision_) return;
  revision_ = revision;
  zones_.clear();
  for (const ZoneEvacuation& change : changes) zones_[change.zone] = change;
}

std::vector<ZoneEvacuation> ZoneEvacuations::Changes() const {
  std::vector<ZoneEvacuation> changes;
  changes.reserve(zones_.size());
  for (const auto& [zone, change] : zones_) changes.push_back(change);
  return changes;
}

EvacuatedZones ZoneEvacuations::Evacuated() const {
  EvacuatedZones evacuated;
  evacuated.revision = revision_;
  for (const auto& [zone, change] : zones_) {
    if (change.is_evacuated) evacuated.zones.push_back(zone);
  }
  return evacuated;
}

}  // namespace coltsfootfork

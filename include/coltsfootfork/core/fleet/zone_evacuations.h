#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The availability zones whose servers are to receive nothing new, as processes
// pass it on. The state with the highest revision is in force.
struct EvacuatedZones {
  // Increases with each change; zero if no zone was ever evacuated.
  std::uint64_t revision = 0;
  // Sorted, without duplicates.
  std::vector<ZoneId> zones;
};

// An operator's order to evacuate a zone, or to end its evacuation.
struct EvacuationOrder {
  ZoneId zone;
  bool is_start = true;
  // The revision that the process which received the order knew of. An order
  // that was received before the zone's last change is outdated, so that a
  // delayed copy of an earlier order cannot undo a later one.
  std::uint64_t known_revision = 0;
};

enum class EvacuationOutcome : std::uint8_t {
  kApplied = 0,
  // The zone was in the requested state already.
  kUnchanged,
  kOutdated,
  kTooManyZones,
};

// The last change of one zone, for snapshots.
struct ZoneEvacuation {
  ZoneId zone;
  bool is_evacuated = false;
  std::uint64_t revision = 0;
};

// The replicated state of evacuations: orders in the sequence of the log.
// Applying commands again that it has applied before changes nothing.
class ZoneEvacuations {
 public:
  // Zones that can have been evacuated. Far more than a fleet has; bounds the
  // state if orders name zones that do not exist.
  static constexpr std::size_t kMaxZones = 256;

  EvacuationOutcome Apply(const EvacuationOrder& order);
  // Returns the outcome that Apply would have.
  EvacuationOutcome Check(const EvacuationOrder& order) const;

  // Replaces the state by that of a snapshot, unless it is older.
  void Restore(const std::vector<ZoneEvacuation>& changes);
  // Returns the last change of each zone that was ever evacuated.
  std::vector<ZoneEvacuation> Changes() const;

  std::uint64_t revision() const { return revision_; }
  EvacuatedZones Evacuated() const;

 private:
  std::uint64_t revision_ = 0;
  std::map<ZoneId, ZoneEvacuation> zones_;
};

}  // namespace coltsfootfork

#pragma once

#include <optional>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

// The number of entries and the sum of their load and demand.
struct TotalUsage {
  std::uint32_t entries = 0;
  KeyedLoad load;
  FleetDemand demand;
};

void AddUsage(TotalUsage& sum, const TotalUsage& more);

// The sending side: produces a delta against the usage published last.
class UsagePublisher {
 public:
  // Returns the changes since the previous call, or nullopt if there are none.
  std::optional<UsageReport> NextDelta(const TotalUsage& sum);
  // Returns whether the load differs from the one published last. Demand, which
  // changes all the time, is not compared.
  bool HasNewLoad(const TotalUsage& sum) const;
  // The full usage published last, for a receiver that has no base for a delta.
  UsageReport FullReport() const;

 private:
  TotalUsage last_published_;
};

// The receiving side: applies deltas and full reports.
class UsageReceiver {
 public:
  // Returns false and changes nothing if the report is malformed.
  bool Apply(const UsageReport& report);
  const TotalUsage& sum() const { return sum_; }

 private:
  TotalUsage sum_;
};

}  // namespace coltsfootfork

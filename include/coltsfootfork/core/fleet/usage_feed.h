#pragma once

#include <optional>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

// What entries take and want together, and how many there are.
struct TotalUsage {
  std::uint32_t entries = 0;
  KeyedLoad load;
  FleetDemand demand;
};

void AddUsage(TotalUsage& sum, const TotalUsage& more);

// The side that tells: what has changed since it was told last.
class UsagePublisher {
 public:
  // Takes the sum of now over. Nothing where it is as it was.
  std::optional<UsageReport> NextDelta(const TotalUsage& sum);
  // All of what was told last, for a receiver that has heard nothing yet.
  UsageReport FullReport() const;

 private:
  TotalUsage last_published_;
};

// The side that hears.
class UsageReceiver {
 public:
  // False where the message cannot be read.
  bool Apply(const UsageReport& use);
  const TotalUsage& sum() const { return sum_; }

 private:
  TotalUsage sum_;
};

}  // namespace coltsfootfork

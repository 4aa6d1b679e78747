#include "coltsfootfork/core/fleet/usage_feed.h"

namespace coltsfootfork {

void AddUsage(TotalUsage& sum, const TotalUsage& more) {
  sum.entries += more.entries;
  AddLoad(sum.load, more.load);
  AddDemand(sum.demand, more.demand);
}

std::optional<UsageReport> UsagePublisher::Next(const TotalUsage& sum) {
  const KeyedLoad changes = ChangesOf(told_.load, sum.load);
  const bool same = changes.empty() && sum.demand == told_.demand &&
                    sum.entries == told_.entries;
  if (same) return std::nullopt;
  told_ = sum;
  return UsageReport{sum.entries, /*is_whole=*/false, ToNumbers(changes),
                     ToList(sum.demand)};
}

UsageReport UsagePublisher::Whole() const {
  return {told_.entries, /*is_whole=*/true, ToNumbers(told_.load),
          ToList(told_.demand)};
}

bool UsageReceiver::Take(const UsageReport& use) {
  const auto load = FromNumbers(use.load);
  if (!load) return false;
  if (use.is_whole) sum_.load.clear();
  ApplyChanges(sum_.load, *load);
  sum_.demand = ToFleetDemand(use.demand);
  sum_.entries = use.entries;
  return true;
}

}  // namespace coltsfootfork

#include "coltsfootfork/core/fleet/usage_feed.h"

namespace coltsfootfork {

void AddUsage(TotalUsage& sum, const TotalUsage& more) {
  sum.entries += more.entries;
  AddLoad(sum.load, more.load);
  AddDemand(sum.demand, more.demand);
}

std::optional<UsageReport> UsagePublisher::NextDelta(const TotalUsage& sum) {
  const KeyedLoad changes = ChangesOf(last_published_.load, sum.load);
  const bool is_unchanged = changes.empty() &&
                            sum.demand == last_published_.demand &&
                            sum.entries == last_published_.entries;
  if (is_unchanged) return std::nullopt;
  last_published_ = sum;
  return UsageReport{sum.entries, /*is_full=*/false, EncodeLoad(changes),
                     ToList(sum.demand)};
}

bool UsagePublisher::HasNewLoad(const TotalUsage& sum) const {
  return !ChangesOf(last_published_.load, sum.load).empty();
}

UsageReport UsagePublisher::FullReport() const {
  return {last_published_.entries, /*is_full=*/true,
          EncodeLoad(last_published_.load), ToList(last_published_.demand)};
}

bool UsageReceiver::Apply(const UsageReport& report) {
  const auto load = DecodeLoad(report.load);
  if (!load) return false;
  if (report.is_full) sum_.load.clear();
  ApplyChanges(sum_.load, *load);
  sum_.demand = ToFleetDemand(report.demand);
  sum_.entries = report.entries;
  return true;
}

}  // namespace coltsfootfork

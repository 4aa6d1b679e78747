#include "shell/fleet/fleet_traffic.h"

namespace coltsfootfork {

std::map<std::string, std::uint64_t> FleetTraffic::Values() const {
  std::map<std::string, std::uint64_t> values;
  for (const auto& [kind, sums] : sums_) {
    const std::string name = "fleet_" + std::string(FleetMessageName(kind));
    values[name + "_messages_total"] = sums.messages;
    values[name + "_bytes_total"] = sums.bytes;
  }
  return values;
}

}  // namespace coltsfootfork

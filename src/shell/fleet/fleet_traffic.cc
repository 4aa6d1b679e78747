#include "shell/fleet/fleet_traffic.h"

#include <variant>

namespace coltsfootfork {
namespace {

struct PriorityVisitor {
  FramePriority operator()(const PlanDocument& /*message*/) const {
    return FramePriority::kBulk;
  }
  FramePriority operator()(const RelayRequest& /*message*/) const {
    return FramePriority::kBulk;
  }
  FramePriority operator()(const RelayReply& /*message*/) const {
    return FramePriority::kBulk;
  }
  FramePriority operator()(const ReplicaPayload& /*message*/) const {
    return FramePriority::kBulk;
  }
  FramePriority operator()(const DirectoryUpdate& /*message*/) const {
    return FramePriority::kBulk;
  }
  template <typename Other>
  FramePriority operator()(const Other& /*message*/) const {
    return FramePriority::kNormal;
  }
};

}  // namespace

FramePriority PriorityOf(const FleetMessage& message) {
  return std::visit(PriorityVisitor(), message);
}

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

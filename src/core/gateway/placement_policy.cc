#include "coltsfootfork/core/gateway/placement_policy.h"

namespace coltsfootfork {

std::optional<PlacementPolicy> ParsePlacementPolicy(const std::string& name) {
  if (name == "drawn") return PowerOfDChoicesPlacement{};
  if (name == "round_robin") return RoundRobinPlacement{};
  if (name == "fewest_calls") return LeastRequestsPlacement{};
  return std::nullopt;
}

}  // namespace coltsfootfork

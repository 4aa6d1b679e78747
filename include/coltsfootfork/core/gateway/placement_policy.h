#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

namespace coltsfootfork {

// Policies that choose a server for a new call.

// Chooses the least loaded of a few random servers that have capacity. The call
// is queued if no server has capacity.
struct PowerOfDChoicesPlacement {};

// Baselines for comparison. They ignore capacity and never queue a call.
struct RoundRobinPlacement {};
struct LeastRequestsPlacement {};

using PlacementPolicy =
    std::variant<PowerOfDChoicesPlacement, RoundRobinPlacement,
                 LeastRequestsPlacement>;

// Accepts "drawn", "round_robin" and "fewest_calls"; returns nothing for other
// names.
std::optional<PlacementPolicy> ParsePlacementPolicy(const std::string& name);

}  // namespace coltsfootfork

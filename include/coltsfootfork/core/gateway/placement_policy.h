#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

namespace coltsfootfork {

// How a server is chosen for a new call among those that serve.

// The least loaded of a few drawn by lot, among those that have room; the call
// waits where none has.
struct PowerOfDChoicesPlacement {};

// Baselines, to measure against. They take no notice of room, and no call ever
// waits.
struct RoundRobinPlacement {};
struct LeastRequestsPlacement {};

using PlacementPolicy =
    std::variant<PowerOfDChoicesPlacement, RoundRobinPlacement,
                 LeastRequestsPlacement>;

// "drawn", "round_robin" or "fewest_calls"; nothing for another name.
std::optional<PlacementPolicy> ParsePlacementPolicy(const std::string& name);

}  // namespace coltsfootfork

#pragma once

#include <variant>

namespace coltsfootfork {

// Cycles through the eligible servers.
struct RoundRobinPolicy {};

// Chooses the server with the fewest in-flight requests of this entry.
struct LeastOutstandingPolicy {};

// Chooses among a few sampled servers the one with the shortest expected time
// to first token.
struct LowestCostPolicy {};

using ChoicePolicy =
    std::variant<LowestCostPolicy, RoundRobinPolicy, LeastOutstandingPolicy>;

}  // namespace coltsfootfork

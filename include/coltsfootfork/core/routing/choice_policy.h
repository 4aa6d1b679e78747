#pragma once

#include <variant>

namespace coltsfootfork {

// Each eligible server in turn.
struct RoundRobinPolicy {};

// The server with the fewest requests that this entry has open on it.
struct LeastOutstandingPolicy {};

// The cheapest of a few sampled servers by expected time to the first token.
struct LowestCostPolicy {};

using ChoicePolicy =
    std::variant<LowestCostPolicy, RoundRobinPolicy, LeastOutstandingPolicy>;

}  // namespace coltsfootfork

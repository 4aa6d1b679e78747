#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace coltsfootfork {

// The priority of a request. Lower values are served first.
enum class Rank : std::uint8_t {
  kUrgent = 0,
  kDeferrable = 1,
};

inline constexpr std::size_t kRankCount = 2;

constexpr std::size_t RankIndex(Rank rank) {
  return static_cast<std::size_t>(rank);
}

// The name used in configuration, on the wire and as a metric label.
std::string_view RankName(Rank rank);

// Returns the rank with the given name, or nullopt if there is none.
std::optional<Rank> ParseRank(std::string_view name);

}  // namespace coltsfootfork

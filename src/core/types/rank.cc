#include "coltsfootfork/core/types/rank.h"

#include <array>

namespace coltsfootfork {
namespace {

constexpr std::array<std::string_view, kRankCount> kNames = {"urgent",
                                                             "deferrable"};

}  // namespace

std::string_view RankName(Rank rank) { return kNames.at(RankIndex(rank)); }

std::optional<Rank> ParseRank(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == name) return static_cast<Rank>(i);
  }
  return std::nullopt;
}

}  // namespace coltsfootfork

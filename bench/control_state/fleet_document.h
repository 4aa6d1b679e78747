#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootfork {

// How large a fleet is.
struct FleetSize {
  std::size_t servers = 0;
  std::size_t workspaces = 0;
  std::size_t services = 0;
};

// The fleets that the tables show: a deployment of today, the size to design
// for, and sizes between and beyond.
inline constexpr FleetSize kFleetSizes[] = {
    {23, 10, 3}, {220, 430, 8}, {870, 1700, 32}, {1740, 3400, 64}};

// The id of a workspace of a fleet's document, by its place.
std::string WorkspaceName(std::size_t place);

// A document in which every workspace has limits and a weight, and each fourth
// one a rank rule of its own.
nlohmann::json FleetDocument(const FleetSize& size);

}  // namespace coltsfootfork

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

enum class ChangeKind : std::uint8_t { kAdded = 0, kRemoved, kChanged };

// One difference between two documents.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  // A JSON pointer into the later document; for a removal into the earlier.
  std::string place;
  // The id of the inventory's entity that it concerns, where there is one.
  std::string entity;
  // Compact JSON; empty where there is no value.
  std::string before;
  std::string after;

  // One line without a line end, such as
  // "changed /inventory/workspaces/0/weight (ws-01): 1 -> 2".
  std::string ToText() const;
};

// The differences between two documents, in the order of their places. The
// order of inventory lists is not a difference. A text that cannot be read
// gives a finding and no result.
std::optional<std::vector<ConfigurationChange>> DiffConfigurations(
    std::string_view before_text, std::string_view after_text,
    Findings& findings);

}  // namespace coltsfootfork

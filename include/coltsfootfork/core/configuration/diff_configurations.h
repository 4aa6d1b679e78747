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
  // A JSON pointer into the later document, or into the earlier one for a
  // removal.
  std::string place;
  // The id of the changed inventory entity, if any.
  std::string entity;
  // Values as compact JSON, or as text for operators; empty if there is no
  // value.
  std::string before;
  std::string after;

  // Returns one line without a newline, such as
  // "changed /inventory/workspaces/0/weight (ws-01): 1 -> 2".
  std::string ToText() const;
};

// Returns the differences between two documents, sorted by place. The order of
// inventory lists is ignored. An unreadable text adds a finding, and the result
// is std::nullopt.
std::optional<std::vector<ConfigurationChange>> DiffConfigurations(
    std::string_view before_text, std::string_view after_text,
    Findings& findings);

}  // namespace coltsfootfork

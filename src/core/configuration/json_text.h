#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "bounded_findings.h"

namespace coltsfootfork {

// Parses JSON text of bounded size and depth. An object with a duplicate key
// adds a finding. Text that is not JSON adds one finding with line and column.
std::optional<nlohmann::json> ReadJsonText(std::string_view text,
                                           BoundedFindings& findings);

}  // namespace coltsfootfork

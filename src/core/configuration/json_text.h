#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "bounded_findings.h"

namespace coltsfootfork {

// Reads JSON of bounded size and depth in which no object has a key twice.
// Text that is not JSON gives one finding with line and column.
std::optional<nlohmann::json> ReadJsonText(std::string_view text,
                                           BoundedFindings& findings);

}  // namespace coltsfootfork

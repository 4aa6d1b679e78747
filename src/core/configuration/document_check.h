#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Validates a parsed JSON document; see ParseConfiguration.
std::optional<Configuration> CheckDocument(const nlohmann::json& document,
                                           Findings& findings);

}  // namespace coltsfootfork

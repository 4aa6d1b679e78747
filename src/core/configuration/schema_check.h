#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration_keys.h"

namespace coltsfootfork {

// Validates a document against a table of keys: reports unknown and missing
// keys, values of a wrong type, and values out of range.
void CheckSchema(const nlohmann::json& document,
                 const std::vector<ConfigurationKey>& keys,
                 BoundedFindings& findings);

}  // namespace coltsfootfork

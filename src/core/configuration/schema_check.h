#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration_keys.h"

namespace coltsfootfork {

// Checks a document against a table of keys: unknown and missing keys, kinds
// of values, and ranges.
void CheckSchema(const nlohmann::json& document,
                 const std::vector<ConfigurationKey>& keys,
                 BoundedFindings& findings);

}  // namespace coltsfootfork

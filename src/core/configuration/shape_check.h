#pragma once

#include <nlohmann/json.hpp>

#include "bounded_findings.h"

namespace coltsfootfork {

// Checks a document against the table of keys: unknown and missing keys, kinds
// of values, and ranges.
void CheckShape(const nlohmann::json& document, BoundedFindings& findings);

}  // namespace coltsfootfork

#pragma once

#include <string_view>

#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Returns the findings of ParseConfiguration, and besides: rules of ranks that
// never match because an earlier rule matches all of their requests, and
// services that no engine serves. These are not looked for in a part of the
// document that has other findings.
Findings LintConfiguration(std::string_view json_text);

}  // namespace coltsfootfork

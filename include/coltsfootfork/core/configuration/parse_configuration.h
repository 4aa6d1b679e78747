#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Larger documents are rejected.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{4} << 20U;
// Maximum nesting depth of objects and arrays.
inline constexpr std::size_t kMaxDocumentDepth = 16;
// Further findings are omitted, and the last one states the omission.
inline constexpr std::size_t kMaxFindings = 200;

// Parses and validates the operators' document. Each fault adds a finding with
// the JSON pointer of its place, or with line and column if the text is not
// JSON. Returns std::nullopt if there is a finding. The revision of the result
// is zero, because the control replicas assign revisions.
std::optional<Configuration> ParseConfiguration(std::string_view json_text,
                                                Findings& findings);

}  // namespace coltsfootfork

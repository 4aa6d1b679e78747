#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// The largest document that is read, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{4} << 20U;
// How deep objects and arrays may be nested.
inline constexpr std::size_t kMaxDocumentDepth = 16;
// Findings beyond this are left out, and the last one says so.
inline constexpr std::size_t kMaxFindings = 200;

// Reads and checks the operators' document. All faults are added to the
// findings, each with the JSON pointer of its place, or with line and column
// where the text is not JSON. Nothing is returned when there is a finding. The
// revision of the result is zero: the control replicas number documents.
std::optional<Configuration> ParseConfiguration(std::string_view json_text,
                                                Findings& findings);

}  // namespace coltsfootfork

#pragma once

#include <string>
#include <string_view>

namespace coltsfootfork {

// Normalizes a request target as a server does: removes query and fragment,
// decodes percent-encoding, merges repeated slashes and resolves dot segments.
std::string NormalizePath(std::string_view target);

}  // namespace coltsfootfork

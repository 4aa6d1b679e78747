#pragma once

#include <string>
#include <string_view>

namespace coltsfootfork {

// A request target as a server reads it: without query and fragment, with
// escapes decoded, doubled slashes merged and dot segments resolved.
std::string NormalizePath(std::string_view target);

}  // namespace coltsfootfork

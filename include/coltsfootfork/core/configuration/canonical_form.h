#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Returns the document as compact JSON with sorted keys and with inventory
// lists sorted by id, so that equivalent documents have equal text. Returns
// std::nullopt if the text is not JSON, or if an inventory list has an element
// without an id or with a duplicate id.
std::optional<std::string> CanonicalForm(std::string_view json_text);

}  // namespace coltsfootfork

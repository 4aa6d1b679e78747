#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// The document as compact JSON with sorted keys, and with the lists of the
// inventory sorted by id: two documents that say the same are equal in this
// form. Nothing where the text is not JSON, or where an inventory list has an
// element without an id or with an id that stands twice.
std::optional<std::string> CanonicalForm(std::string_view json_text);

}  // namespace coltsfootfork

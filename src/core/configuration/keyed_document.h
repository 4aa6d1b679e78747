#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// The inventory's lists whose elements have an "id".
inline constexpr const char* kInventoryLists[] = {
    "availability_zones", "services", "engines", "workspaces"};

// The document with those lists as objects keyed by id, or nothing where an
// element has no id, or one that stands twice.
std::optional<nlohmann::json> ToKeyed(nlohmann::json document);

// The inverse of ToKeyed; the lists come sorted by id.
nlohmann::json FromKeyed(nlohmann::json keyed);

// Reads a text into the keyed form, within the limits of documents.
std::optional<nlohmann::json> ReadKeyed(std::string_view json_text);

}  // namespace coltsfootfork

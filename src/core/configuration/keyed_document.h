#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// The inventory lists whose elements have an "id".
inline constexpr const char* kInventoryLists[] = {
    "availability_zones", "services", "engines", "workspaces"};

// Converts the inventory lists of a document to objects keyed by id. Returns
// std::nullopt if an element has no id or a duplicate id.
std::optional<nlohmann::json> ToKeyed(nlohmann::json document);

// The inverse of ToKeyed, except that the lists are sorted by id.
nlohmann::json FromKeyed(nlohmann::json keyed);

// Parses a text into the keyed form, subject to the size and depth limits of
// documents.
std::optional<nlohmann::json> ReadKeyed(std::string_view json_text);

}  // namespace coltsfootfork

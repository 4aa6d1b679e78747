#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

std::string WriteCbor(const nlohmann::json& value);

// Reads a single CBOR value that spans all bytes. Returns std::nullopt if the
// bytes are corrupt or nested too deeply.
std::optional<nlohmann::json> ReadCbor(std::string_view bytes);

}  // namespace coltsfootfork

#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

std::string WriteCbor(const nlohmann::json& value);

// Reads one CBOR value that fills the bytes. Nothing where the bytes are
// damaged or nested too deep.
std::optional<nlohmann::json> ReadCbor(std::string_view bytes);

}  // namespace coltsfootfork

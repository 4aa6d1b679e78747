#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "coltsfootfork/core/messages/entry_io.h"

// The JSON form of an entry's inputs and effects in a trace:
// {"kind": NAME, "body": {...}}.
namespace coltsfootfork {

nlohmann::json InputToJson(const EntryInput& input);
// Nothing for a kind that is not known. Throws nlohmann::json::exception where
// a member has the wrong type.
std::optional<EntryInput> InputFromJson(const nlohmann::json& j);

nlohmann::json EffectToJson(const EntryEffect& effect);
std::optional<EntryEffect> EffectFromJson(const nlohmann::json& j);

}  // namespace coltsfootfork

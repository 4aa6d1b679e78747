#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "coltsfootfork/core/messages/entry_io.h"

// The JSON encoding of an entry's inputs and effects in a trace:
// {"kind": NAME, "body": {...}}.
namespace coltsfootfork {

nlohmann::json InputToJson(const EntryInput& input);
// Both FromJson functions return nullopt for an unknown kind and throw
// nlohmann::json::exception if a member has the wrong type.
std::optional<EntryInput> InputFromJson(const nlohmann::json& j);

nlohmann::json EffectToJson(const EntryEffect& effect);
std::optional<EntryEffect> EffectFromJson(const nlohmann::json& j);

}  // namespace coltsfootfork

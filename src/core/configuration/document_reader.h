#pragma once

#include <nlohmann/json.hpp>

#include "coltsfootfork/core/configuration/configuration.h"

namespace coltsfootfork {

// Converts a document to its typed form. Values that are missing or of a wrong
// type keep their defaults: the schema check has reported them, and the
// references in the rest can still be checked.
Configuration ReadDocument(const nlohmann::json& document);

}  // namespace coltsfootfork

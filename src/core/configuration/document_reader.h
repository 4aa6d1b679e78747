#pragma once

#include <nlohmann/json.hpp>

#include "coltsfootfork/core/configuration/configuration.h"

namespace coltsfootfork {

// Reads a document into its typed form. Values that are missing or of a wrong
// kind keep their defaults: the shape check has reported them, and the rest
// can still be checked for references.
Configuration ReadDocument(const nlohmann::json& document);

}  // namespace coltsfootfork

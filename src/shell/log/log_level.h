#pragma once

#include <optional>
#include <string>

#include "shell/log/event.h"

namespace coltsfootfork {

// Converts a level name of the settings: "error", "warning", "info" or "debug".
// Returns nothing for any other name.
std::optional<LogLevel> LogLevelNamed(const std::string& name);

}  // namespace coltsfootfork

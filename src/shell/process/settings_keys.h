#pragma once

#include <vector>

#include "coltsfootfork/core/configuration/configuration_keys.h"

namespace coltsfootfork {

// Returns all keys of a settings document, each after its parent object. A test
// compares this table with the operators' page on settings.
const std::vector<ConfigurationKey>& SettingsKeys();

}  // namespace coltsfootfork

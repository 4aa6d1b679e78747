#pragma once

#include <vector>

#include "coltsfootfork/core/configuration/configuration_keys.h"

namespace coltsfootfork {

// All keys of a settings document, each after the object that holds it. The
// operators' page on settings is checked against the table.
const std::vector<ConfigurationKey>& SettingsKeys();

}  // namespace coltsfootfork

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Baseline: the load of the servers is published in the periodic reports only.
struct PeriodicUsage {};

// Changes of the load are also published between the periodic reports. A call
// that an entry has dispatched is then known to the others before they choose
// the same server.
struct PromptUsage {};

using UsagePacing = std::variant<PeriodicUsage, PromptUsage>;

// Returns the minimum time between two reports of changed load in a fleet with
// so many entries, or nullopt if there are only periodic ones. The interval
// grows with the number of entries, since each control process then has more
// changes to send: the traffic of a large fleet stays within its budget.
std::optional<Duration> UsageInterval(const UsagePacing& pacing,
                                      std::uint32_t entries);

// Accepts "periodic" and "prompt"; returns nothing for other names.
std::optional<UsagePacing> ParseUsagePacing(const std::string& name);

}  // namespace coltsfootfork

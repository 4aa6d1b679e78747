#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cli/check_report.h"
#include "cli/command_line.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// What the arguments say about the deployment that a routing plan is for.
struct PlanCheckOptions {
  std::optional<std::set<RegionId>> regions;
  std::optional<std::uint64_t> entry_memory_bytes;
};

// Checks the text of a routing plan and compares it with the text of the one in
// force, if given. Returns nullopt and adds to `in_force_findings` if the
// latter cannot be read.
using CheckPlanDocument = std::function<std::optional<CheckReport>(
    const std::string& text, const std::optional<std::string>& in_force,
    const PlanCheckOptions& options, Findings& in_force_findings)>;

// The part of the check command that depends on the format of routing plans.
struct PlanFormat {
  // Where control processes serve the plan in force.
  std::string in_force_path;
  CheckPlanDocument check;
};

ExitCode ExecuteCheck(const std::vector<std::string>& words,
                      const PlanFormat& plan_format);

}  // namespace coltsfootfork

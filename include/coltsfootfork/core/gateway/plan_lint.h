#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/gateway/plan_place.h"
#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// What is known about the deployment that a plan is meant for. An absent value
// disables the checks that need it.
struct PlanLintOptions {
  // The version in force.
  std::optional<PlanVersion> version_in_force;
  // The regions that the deployment's zones belong to.
  std::optional<std::set<RegionId>> regions;
  // Memory of the smallest entry process.
  std::optional<std::uint64_t> entry_memory_bytes;
};

struct PlanFinding {
  PlanPlace place;
  Severity severity = Severity::kError;
  std::string problem;
};

// Finds the entries of a plan that can never match and the limits that
// contradict each other. CheckRoutingPlan reports what makes a plan invalid;
// this function reports faults of valid plans, but may be called for any plan.
std::vector<PlanFinding> LintRoutingPlan(const RoutingPlan& plan,
                                         const PlanLintOptions& options);

}  // namespace coltsfootfork
